"""A start without an answer is carried out in the next life of its executor, after another run of the task was done and taken note of."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin-3'))
import platform_standin as ps

EXECUTORS, DOWN_S = 8, 0.5
# "It may also be executed seconds later": 2 to 12 s, by `fleetbench kinds`.
LATE_S = 6.0


async def play(deployment, trouble):
    platform = deployment.platform
    deployment.configuration(pools=('pool-0',), spare=False)
    executors = [await platform.add_executor('pool-0') for _ in range(EXECUTORS)]
    if not await deployment.start_nodes():
        return None
    job = ps.job_id()
    held_at = []

    def fault_of(executor):
        def fault(request):
            if request.path != '/-/run-start' or held_at or job not in request.json().get('Task', ''):
                return None
            held_at.append((time.monotonic(), executor))
            return 'held'
        return fault

    if trouble:
        for executor in executors:
            executor.fault = fault_of(executor)
    answer = await deployment.nodes[0].call('POST', '/queue-0/' + job, {
        'Spec': 'ms=1000', 'Steps': [{'Count': 1, 'Cpu': 1000, 'MemMb': 256, 'EstimateMs': 1000}]})
    platform.note('submitted', job=job, status=answer[0])
    if answer[0] != 200:
        return None
    await asyncio.sleep(LATE_S - DOWN_S)
    state = await deployment.nodes[1].call('GET', '/queue-0/' + job)
    platform.note('state', job=job, answer=state)
    if 'completed' not in state[1]:
        return None
    if trouble:
        at, executor = held_at[0]
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
        platform.note('held_start_arrives', after_s=round(time.monotonic() - at, 2), executor=executor.id)
        executor.carry_out_held()
    await asyncio.sleep(5)
    return ['%s: %s' % breach for breach in platform.breaches if breach[0] == 'TWICE']


if __name__ == '__main__':
    ps.run_case(os.path.dirname(os.path.abspath(__file__)), play)
