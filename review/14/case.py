"""An executor that has restarted as another kind is given tasks by what its former incarnation was: without the label that they require."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin-3'))
import platform_standin as ps

EXECUTORS, WAITING_JOBS = 8, 6
OUTAGE_S, CRASH_AT_S, DOWN_S = 4.8, 1.0, 2.0


async def play(deployment, trouble):
    platform = deployment.platform
    deployment.configuration(pools=('pool-0',), spare=False)
    executors = [await platform.add_executor('pool-0') for _ in range(EXECUTORS)]
    if not await deployment.start_nodes():
        return None
    broken, steps = [], {}
    began = platform.on_start

    def on_start(executor, task, run, spec):
        began(executor, task, run, spec)
        label = steps[task.split('.')[0]].get('Requires', executor.kind)
        if label not in (executor.kind, executor.rack):
            broken.append('ROUTE: %s requires label %s and starts on %s, which is of kind %s' % (task, label, executor.id, executor.kind))
        used = sum(steps[other.split('.')[0]]['Cpu'] for other in executor.running)
        if used > executor.cpu:
            platform.note('over_capacity', executor=executor.id, used=used, cpu=executor.cpu)

    platform.on_start = on_start

    async def submit(spec, step):
        job = ps.job_id()
        steps[job] = step
        answer = await deployment.nodes[0].call('POST', '/queue-0/' + job, {'Spec': spec, 'Steps': [step]})
        platform.note('submitted', job=job, step=step, status=answer[0])
        return answer[0] == 200

    # All executors but one are full; the jobs that wait require kind a and take turns on the last one.
    if not await submit('lasts', {'Count': EXECUTORS - 1, 'Cpu': 30000, 'MemMb': 512, 'EstimateMs': 900, 'LongRunning': True}):
        return None
    await asyncio.sleep(3)
    for _ in range(WAITING_JOBS):
        if not await submit('ms=1500', {'Count': 1, 'Cpu': 20000, 'MemMb': 512, 'EstimateMs': 1500, 'Requires': 'a'}):
            return None
    await asyncio.sleep(1)
    last = next(executor for executor in executors if not any(run['lasts'] for run in executor.running.values()))
    if trouble:
        platform.note('store_down')
        platform.store.down = True
        await asyncio.sleep(CRASH_AT_S)
        last.crash()
        # "A new incarnation may be of a different kind, even at the same address."
        last.kind, last.cpu = 'b', 8000
        await asyncio.sleep(DOWN_S)
        await last.start()
        await asyncio.sleep(OUTAGE_S - CRASH_AT_S - DOWN_S)
        platform.store.down = False
        platform.note('store_up')
    await asyncio.sleep(12)
    return broken


if __name__ == '__main__':
    ps.run_case(os.path.dirname(os.path.abspath(__file__)), play)
