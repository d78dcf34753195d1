"""Fifteen short requests bring every lease holder above the memory of its machine, one after the other, and accepted work never runs again."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin-3'))
import platform_standin as ps

MEMORY_MB = 260
# Each of these jobs has 50,000 tasks in a request of about 400 bytes.
LARGE_JOBS = 15
LARGE_STEPS = [{'Count': 10000, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 900}] * 5
SMALL_STEPS = [{'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 300}]


async def watch_memory(deployment, kills):
    """The platform: a process that exceeds MemoryMb is killed, and a process that ends is started again after a short delay."""
    while True:
        await asyncio.sleep(0.1)
        for node in deployment.nodes:
            if node.alive() and node.rss_mb() > MEMORY_MB:
                deployment.platform.note('over_memory', node=node.number, rss_mb=node.rss_mb(), limit_mb=MEMORY_MB)
                kills.append((time.monotonic(), node.number))
                node.kill()
                asyncio.get_event_loop().call_later(1.0, node.start)


async def submit(deployment, steps, number):
    ident = ps.job_id()
    for attempt in range(4):
        body = {'Spec': 'ms=300', 'Steps': steps}
        answer = await deployment.nodes[(number + attempt) % len(deployment.nodes)].call('POST', '/queue-0/' + ident, body)
        deployment.platform.note('submitted', job=ident, tasks=sum(step['Count'] for step in steps), status=answer[0])
        if answer[0] not in (0, 502, 504):
            return ident, answer[0]
        await asyncio.sleep(0.5)
    return ident, answer[0]


async def state_of(deployment, job):
    for node in deployment.nodes:
        answer = await node.call('GET', '/queue-0/' + job)
        if answer[0] == 200:
            return answer[1]
    return 'no answer'


async def play(deployment, trouble):
    platform = deployment.platform
    deployment.configuration(pools=('pool-0',), spare=False)
    for _ in range(8):
        await platform.add_executor('pool-0')
    if not await deployment.start_nodes():
        return None
    kills = []
    watcher = asyncio.ensure_future(watch_memory(deployment, kills))
    if trouble:
        for number in range(LARGE_JOBS):
            await submit(deployment, LARGE_STEPS, number)
    await asyncio.sleep(5)
    # Ordinary jobs of another caller.
    accepted = []
    for number in range(6):
        job, status = await submit(deployment, SMALL_STEPS, number)
        if status == 200:
            accepted.append((job, time.monotonic()))
        await asyncio.sleep(1)
    if not accepted:
        return ['the system takes no ordinary job any more; %d processes were over %d MB' % (len(kills), MEMORY_MB)] if trouble else None
    # finish_s is 14 s, and a takeover takes a few seconds.
    await asyncio.sleep(30)
    states = {job: await state_of(deployment, job) for job, _ in accepted}
    platform.note('result', states=states, over_memory=len(kills), nodes_over_memory=sorted({number for _, number in kills}))
    watcher.cancel()
    unfinished = [job for job, state in states.items() if 'completed' not in state]
    broken = []
    if unfinished:
        broken.append('LOST: %d of %d ordinary jobs that were accepted over 30 s ago have not run: %s' % (len(unfinished), len(accepted), states))
    over = {number: sum(1 for _, other in kills if other == number) for _, number in kills}
    often = [number for number, times in over.items() if times >= 3]
    if len(often) >= 2:
        broken.append('Fault: the processes of %d of %d machines were over %d MB three times or more: %s' % (
            len(often), len(deployment.nodes), MEMORY_MB, over))
    return broken


if __name__ == '__main__':
    ps.run_case(os.path.dirname(os.path.abspath(__file__)), play)
