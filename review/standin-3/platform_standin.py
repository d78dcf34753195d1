"""Stand-in of the platform for the scripts of this review: the store, the fleet service and the executors, as PROTOCOL.md describes them.

Everything listens on 127.0.0.1 and runs on one asyncio loop. Each node gets store and fleet addresses of its own, so that a script can
disturb one node's path. Every order, start and end is written to the record.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of the role in deploy/system.toml, run in the repository's root.
PROGRAM = 'target/bin/daisypass-node'

BOUNDS = {'SeedLagS': 3, 'ReuseAfterS': 2, 'ContactMs': 3000, 'AckTimeoutMs': 4000, 'CatchUpS': 4, 'DrainMs': 2000, 'GraceS': 6, 'LostSlackMs': 200,
          'ConfigApplyMs': 2000, 'RollbackSlackMs': 250, 'MaxStretchMs': 5000, 'RecoveryS': 12, 'MaxHoldMs': 6000, 'StopMs': 400, 'GangWaitMs': 3000,
          'cancel_ms': 3000, 'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14, 'status_s': 120, 'FarFactor': 2, 'CheckpointS': 1, 'RestoreMs': 100,
          'NoticeMs': 4500, 'MoveS': 1.5, 'MaintenanceS': 2, 'RequireFence': 'true', 'LeaseMs': 3000, 'ThawSlackMs': 300, 'PaceMs': 100, 'HarmMs': 4000}


def now_ms():
    return int(time.monotonic() * 1000)


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method, self.path, self.headers, self.body = method, unquote(parts.path), headers, body
        self.query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}

    def json(self):
        return json.loads(self.body or b'{}')


class Server:
    """An HTTP/1.1 server. The handler returns (status, object), None for no answer, or 'reset'."""

    def __init__(self, handler, port=0):
        self.handler, self.port, self.writers, self.server = handler, port, set(), None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Like the end of the process: no listener, and all connections reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(' ', 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, value = line.split(':', 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(30)
                    return
                if answer == 'reset':
                    writer.transport.abort()
                    return
                text = json.dumps(answer[1]).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % (answer[0], len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    def __init__(self, loop_changed=None):
        self.rows, self.version, self.changes, self.waiters = {}, 0, {}, []
        self.history_from = 0
        # Per node: None or a function(request) that returns None (serve), or an answer, or 'lost' (done, not answered).
        self.fault = {}
        self.on_put = None
        # While the store is down, it refuses everybody.
        self.down = False

    def put(self, table, key, value, part=''):
        self._apply([(table, part, key, json.dumps(value).encode() if not isinstance(value, bytes) else value)], [])

    def remove(self, table, key, part=''):
        if (table, part, key) in self.rows:
            self._apply([], [(table, part, key)])

    def value(self, table, key, part=''):
        row = self.rows.get((table, part, key))
        return row[0] if row else None

    def _apply(self, puts, deletes):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.version)
            self.changes[(table, part, key)] = self.version
            if self.on_put:
                self.on_put(table, part, key, value)
        for name in deletes:
            self.rows.pop(name, None)
            self.changes[name] = self.version
        waiters, self.waiters = self.waiters, []
        for event in waiters:
            event.set()
        return self.version

    def _row(self, name):
        row = self.rows.get(name)
        item = {'Table': name[0], 'part': name[1], 'Key': name[2], 'Ver': row[1] if row else self.changes.get(name, 0)}
        if row:
            item['Value'] = base64.b64encode(row[0]).decode()
        else:
            item['Deleted'] = True
        return item

    def handler(self, node):
        async def handle(request):
            fault = self.fault.get(node)
            what = (503, {}) if self.down else fault(request) if fault else None
            if what is not None and what not in ('lost', 'late'):
                return None if what == 'silent' else what
            if what == 'late':
                asyncio.get_event_loop().call_later(random.uniform(1, 6), self._transact, request)
                return None
            answer = await self._serve(request)
            return None if what == 'lost' else answer
        return handle

    async def _serve(self, request):
        if request.path == '/-/rows-tx':
            await asyncio.sleep(0.003)
            return self._transact(request)
        if request.path == '/-/rows-get':
            return self._get(request.query)
        if request.path == '/-/rows-feed':
            return await self._feed(request.query)
        return 404, {}

    def _transact(self, request):
        body = request.json()
        expected, puts, deletes = body.get('ExpectedRev') or [], body.get('Puts') or [], body.get('Deletes') or []
        names = [(i['Table'], i['part'], i['Key']) for i in expected + puts + deletes]
        if len(names) > 100 or len(request.body) > 1 << 20:
            return 400, {}
        if len({name[1] for name in names}) > 1 and not body.get('Across'):
            return 400, {}
        if any(name[0] in ('op', 'servers') for name in names[len(expected):]):
            return 403, {}
        current = [(i['Table'], i['part'], i['Key']) for i in expected]
        if any((self.rows[n][1] if n in self.rows else 0) != i['Ver'] for n, i in zip(current, expected)):
            return 412, {'rows': [self._row(n) for n in current if n in self.rows], 'Ver': self.version, 'NowMs': now_ms()}
        values = [(i['Table'], i['part'], i['Key'], base64.b64decode(i['Value'])) for i in puts]
        if any(len(v[3]) > 65536 for v in values):
            return 400, {}
        version = self._apply(values, [(i['Table'], i['part'], i['Key']) for i in deletes])
        return 200, {'Ver': version, 'NowMs': now_ms()}

    def _get(self, query):
        table, part, begin, end = query.get('Table', ''), query.get('part', ''), query.get('From', ''), query.get('To', '')
        names = sorted((n for n in self.rows if n[0] == table and n[1] == part and n[2] >= begin and (not end or n[2] < end)), key=lambda n: n[2].encode())
        rows, size, more = [], 0, False
        for name in names:
            row = self._row(name)
            size += len(row['Value']) + 100
            if len(rows) == 500 or size > 1 << 20:
                more = True
                break
            rows.append(row)
        return 200, {'rows': rows, 'HasMore': more, 'Ver': self.version, 'NowMs': now_ms()}

    async def _feed(self, query):
        table, after = query.get('Table', ''), int(query.get('After', 0))
        deadline = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            if after < self.history_from:
                return 410, {}
            changed = sorted((v, n) for n, v in self.changes.items() if n[0] == table and v > after)
            left = deadline - time.monotonic()
            if changed or left <= 0:
                return 200, {'rows': [self._row(n) for _, n in changed], 'Ver': self.version, 'NowMs': now_ms()}
            event = asyncio.Event()
            self.waiters.append(event)
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass


class Executor:
    def __init__(self, platform, ident, pool, machine, cpu=32000, mem=65536, kind='a', rack='r1-0'):
        self.platform, self.id, self.pool, self.machine, self.cpu, self.mem, self.kind, self.rack = platform, ident, pool, machine, cpu, mem, kind, rack
        self.server = Server(self._handle)
        self.up, self.draining, self.silent = False, False, False
        self.beat = None
        # None, or a function(request) that returns None (serve), 'late' (no answer, carried out 2 to 12 s later), 'lost' (carried out, no answer) or
        # 'held' (no answer, kept in `held` until the script has it carried out).
        self.fault, self.held = None, []

    async def start(self):
        await self.server.start()
        self.born, self.started = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease_end, self.running, self.ends, self.last_end, self.refused = 0, 0, {}, [], 0, {}
        self.waiting, self.up, self.sequence = [], True, 0
        self.platform.note('executor_up', executor=self.id, born=self.born, kind=self.kind, cpu=self.cpu)
        if self.beat is None:
            self.beat = asyncio.ensure_future(self._heartbeats())
        self.write_entry()
        return self

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def crash(self):
        """The process ends: it runs nothing, and says nothing."""
        if not self.up:
            return
        self.up = False
        self.platform.note('executor_crash', executor=self.id, runs=[[t, r['run'], self.clock() - r['at']] for t, r in self.running.items()])
        for task, run in self.running.items():
            run['timer'].cancel() if run['timer'] else None
            self.platform.on_end(self, task, run['run'], 'crashed')
        self.running, self.ends = {}, []
        self.server.stop()

    def leave(self):
        self.crash()
        if self.beat:
            self.beat.cancel()
            self.beat = None
        self.platform.store.remove('servers', self.id)

    def write_entry(self):
        # An entry that the store refuses follows with the next heartbeat.
        if self.platform.store.down:
            return
        self.sequence += 1
        self.platform.store.put('servers', self.id, self.entry())

    def entry(self):
        return {
            'Service': self.pool, 'Address': '127.0.0.1:%d' % self.server.port, 'Zone': 'zone-a', 'Version': 'v1', 'Slots': 8,
            'State': 'draining' if self.draining else 'ready', 'ColdLeftMs': 0, 'Capacity': {'Cpu': self.cpu, 'MemMb': self.mem, 'Gpu': 0},
            'Labels': [self.kind, self.rack], 'Machine': self.machine, 'ClockMs': self.clock(), 'born': self.born, 'Sequence': self.sequence}

    async def _heartbeats(self):
        silent = 0
        while True:
            await asyncio.sleep(1.5)
            if self.up:
                silent = 0
                self.write_entry()
            else:
                silent += 1
                if silent == 3 and not self.platform.store.down:
                    self.platform.store.remove('servers', self.id)

    async def _handle(self, request):
        if self.silent:
            return None
        what = self.fault(request) if self.fault else None
        if what == 'late':
            self.platform.note('order_held', executor=self.id, path=request.path, body=request.json())
            asyncio.get_event_loop().call_later(random.uniform(2, 12), self._late, request)
            return None
        if what == 'held':
            self.platform.note('order_held', executor=self.id, path=request.path, body=request.json())
            self.held.append(request)
            return None
        answer = await self._serve(request)
        return None if what == 'lost' else answer

    def carry_out_held(self):
        """The held calls arrive."""
        held, self.held = self.held, []
        for request in held:
            self._late(request)

    def _late(self, request):
        if self.up:
            self.platform.note('order_late', executor=self.id, path=request.path)
            asyncio.ensure_future(self._serve(request))

    async def _serve(self, request):
        expected = request.headers.get('x-daisypass-expected-instance')
        if expected and expected != self.id:
            return 421, {}
        body = request.json()
        if body.get('FenceToken', 0) < self.fence:
            return 409, self._reply(Reason='fence')
        self.fence = body.get('FenceToken', 0)
        if request.path == '/-/run-start':
            return self._start(body)
        if request.path == '/-/run-stop':
            return self._stop(body)
        if request.path == '/-/hold':
            return await self._hold(body)
        if request.path == '/-/pace':
            return 200, self._reply()
        return 404, self._reply()

    def _reply(self, **more):
        return dict({'ClockMs': self.clock(), 'born': self.born}, **more)

    def _extend(self, body):
        if 'DeadlineMs' not in body:
            return
        self.lease_end = max(self.lease_end, min(body['DeadlineMs'], self.clock() + BOUNDS['MaxHoldMs']))
        born = self.born
        asyncio.get_event_loop().call_later(max(0.001, (self.lease_end - self.clock()) / 1000), self._expire, born)

    def _expire(self, born):
        if not self.up or born != self.born or self.clock() < self.lease_end:
            return
        for task in list(self.running):
            self._end(task, 'lapsed')

    def _start(self, body):
        task, run = body['Task'], body['Run']
        present = self.running.get(task)
        if present and present['run'] == run:
            self._extend(body)
            return 200, self._reply()
        if run <= self.refused.get(task, 0) or (present and run < present['run']):
            self._extend(body)
            return 409, self._reply(Reason='old')
        if body.get('DeadlineMs', 0) <= self.clock():
            return 409, self._reply(Reason='late')
        self._extend(body)
        spec = dict(p.split('=', 1) for p in body.get('Spec', '').split() if '=' in p)
        state = {'run': run, 'at': self.clock(), 'ms': int(spec.get('ms', 100)), 'lasts': 'lasts' in body.get('Spec', ''), 'timer': None}
        if not state['lasts']:
            how = 'failed' if 'fail' in spec else 'done'
            state['timer'] = asyncio.get_event_loop().call_later(state['ms'] / 1000, self._end_if, task, run, how)
        self.running[task] = state
        self.platform.on_start(self, task, run, body.get('Spec', ''))
        return 200, self._reply()

    def _end_if(self, task, run, how):
        if task in self.running and self.running[task]['run'] == run:
            self._end(task, how)

    def _end(self, task, how):
        run = self.running.pop(task)
        if run['timer']:
            run['timer'].cancel()
        self.refused[task] = max(self.refused.get(task, 0), run['run'])
        self.last_end += 1
        self.ends.append([self.last_end, task, run['run'], how, ''])
        self.platform.on_end(self, task, run['run'], how)
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            event.set()

    def _stop(self, body):
        task, run = body['Task'], body['Run']
        self.refused[task] = max(self.refused.get(task, 0), run)
        if task in self.running and self.running[task]['run'] <= run:
            self._end(task, 'stopped')
        return 200, self._reply()

    async def _hold(self, body):
        self._extend(body)
        noted = [e for e in self.ends if e[0] <= body.get('AckCursor', 0)]
        self.ends = [e for e in self.ends if e[0] > body.get('AckCursor', 0)]
        for end in noted:
            self.platform.on_noted(self, end[1], end[2], end[3])
        wait = body.get('WaitMs', 0)
        if not self.ends and wait:
            event = asyncio.Event()
            self.waiting.append(event)
            try:
                await asyncio.wait_for(event.wait(), min(wait, 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.running.items():
            percent = 100 if run['lasts'] else min(99, 100 * (self.clock() - run['at']) // max(1, run['ms']))
            running.append([task, run['run'], '', percent, 0])
        return 200, self._reply(Running=running, EndedRuns=self.ends[:500])


class Platform:
    def __init__(self, record):
        self.record, self.store, self.executors, self.machines = record, Store(), {}, {}
        self.breaches, self.runs, self.done, self.failed_ends, self.starts = [], {}, {}, {}, 0
        self.t0 = time.monotonic()
        self.fleet_fault = None
        self.next_id = 0

    def note(self, event, **fields):
        self.record.write(json.dumps(dict({'at_ms': int((time.monotonic() - self.t0) * 1000), 'event': event}, **fields)) + '\n')

    def breach(self, rule, text):
        self.note('breach', rule=rule, text=text)
        self.breaches.append((rule, text))

    def on_start(self, executor, task, run, spec):
        self.starts += 1
        self.note('start', executor=executor.id, task=task, run=run, spec=spec)
        others = self.runs.setdefault(task, {})
        for (other, number) in others:
            if self.executors[other].up:
                self.breach('TWICE', '%s run %d starts on %s while run %d is on %s' % (task, run, executor.id, number, other))
        if self.done.get(task):
            self.breach('TWICE', '%s run %d starts on %s after run %s was done and noted' % (task, run, executor.id, self.done[task]))
        others[(executor.id, run)] = now_ms()

    def on_end(self, executor, task, run, how):
        self.note('end', executor=executor.id, task=task, run=run, how=how)
        self.runs.get(task, {}).pop((executor.id, run), None)
        if how == 'failed':
            self.failed_ends[task] = self.failed_ends.get(task, 0) + 1

    def on_noted(self, executor, task, run, how):
        self.note('noted', executor=executor.id, task=task, run=run, how=how)
        if how == 'done':
            self.done[task] = run

    async def add_executor(self, pool, machine=None, **more):
        self.next_id += 1
        ident = 'x%04d' % self.next_id
        machine = machine or 'm%d' % self.next_id
        executor = Executor(self, ident, pool, machine, **more)
        self.executors[ident] = executor
        self.machines[machine] = {'Machine': machine, 'Pool': pool, 'State': 'up', 'Zone': 'zone-a', 'Labels': ['a', 'r1-0'], 'Id': ident,
                                  'Capacity': {'Cpu': executor.cpu, 'MemMb': executor.mem}, 'fence': 0, 'done': set()}
        await executor.start()
        return executor

    async def fleet(self, request):
        if request.path == '/-/machines':
            return 200, {'Machines': [{k: v for k, v in m.items() if k not in ('fence', 'done')} for m in self.machines.values()], 'NextToken': ''}
        body = request.json()
        machine = self.machines.get(body.get('Machine'))
        token = int(request.headers.get('x-daisypass-fencing-token', 0))
        self.note('fleet_order', path=request.path, body=body, token=token, holder=request.headers.get('x-daisypass-lease-holder'))
        what = self.fleet_fault(request) if self.fleet_fault else None
        if what == 'late':
            asyncio.get_event_loop().call_later(random.uniform(2, 12), self._carry_out, request.path, body, machine, token)
            return None
        answer = self._carry_out(request.path, body, machine, token)
        return None if what == 'lost' else answer

    def _carry_out(self, path, body, machine, token):
        if machine is None:
            return 400, {}
        if token < machine['fence']:
            return 409, {'Reason': 'fence'}
        machine['fence'] = token
        upkeep = path == '/-/machine-upkeep'
        if upkeep and body['Wave'] in machine['done'] or not upkeep and machine['Pool'] == body['Pool']:
            return 200, {}
        if machine['State'] != 'up':
            return 409, {'Reason': 'busy'}
        self.note('fleet_done', path=path, body=body)
        executor = self.executors.get(machine['Id'])
        if executor:
            executor.leave()
        machine['State'], machine['Id'] = ('upkeep' if upkeep else 'moving'), ''
        if upkeep:
            machine['done'].add(body['Wave'])
        else:
            machine['Pool'] = body['Pool']
        asyncio.ensure_future(self._back(machine, BOUNDS['MaintenanceS'] if upkeep else BOUNDS['MoveS']))
        return 200, {}

    async def _back(self, machine, after):
        await asyncio.sleep(after)
        machine['State'] = 'up'
        done, fence = machine['done'], machine['fence']
        await self.add_executor(machine['Pool'], machine['Machine'])
        self.machines[machine['Machine']]['done'], self.machines[machine['Machine']]['fence'] = done, fence


class Node:
    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.process = None
        self.output = None

    async def prepare(self, ports):
        platform = self.deployment.platform
        self.store = await Server(platform.store.handler(self.number)).start()
        self.fleet = await Server(platform.fleet).start()
        self.front, self.ready, self.control, self.internal = ports, ports + 1, ports + 2, ports + 3
        self.settings = os.path.join(self.deployment.directory, 'node-%d.conf' % self.number)
        lines = ['Node=edge-zone-a-%d' % self.number, 'Role=node', 'MachineClass=edge', 'Serves=edge', 'Ip=127.0.0.1', 'Zone=zone-a', 'Region=r',
                 'Zones.zone-a=r', 'Listen.Front=127.0.0.1:%d' % self.front, 'Listen.Ready=127.0.0.1:%d' % self.ready,
                 'InternalPorts=%d,%d' % (self.internal, self.internal + 10), 'Bootstrap=true', 'Limits.CpuShare=0.25', 'Limits.Cores=1',
                 'Limits.MemoryMb=260', 'Limits.MaxFds=4100', 'Limits.LinkMbps=1000.0', 'Discovery=platform', 'Entry=vip', 'HeartbeatMs=1500',
                 'Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing', 'Orders=call',
                 'platform.Address=127.0.0.1:%d' % self.store.port, 'platform.form=table', 'platform.WritesPerS=600', 'platform.ReadsPerS=2000',
                 'platform.TxMs=3.0', 'platform.PartWritesS=300', 'platform.RowBytes=65536', 'platform.Across=true', 'platform.HistoryS=20',
                 'Cloud.Address=127.0.0.1:%d' % self.fleet.port, 'Cloud.RatePerS=64.0', 'Cloud.DutyPerS=64.0']
        lines += ['Bounds.%s=%s' % item for item in BOUNDS.items()]
        with open(self.settings, 'w') as file:
            file.write('\n'.join(lines) + '\n')

    def start(self):
        self.output = open(os.path.join(self.deployment.directory, 'node-%d.log' % self.number), 'a')
        environment = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        environment['DAISYPASS_SETTINGS'] = self.settings
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, stdout=self.output, stderr=subprocess.STDOUT, env=environment)
        self.deployment.platform.note('node_start', node=self.number, pid=self.process.pid)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self, number=signal.SIGKILL):
        self.deployment.platform.note('node_signal', node=self.number, signal=int(number))
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def rss_mb(self):
        try:
            with open('/proc/%d/status' % self.process.pid) as file:
                for line in file:
                    if line.startswith('VmRSS'):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    def log(self):
        with open(os.path.join(self.deployment.directory, 'node-%d.log' % self.number), errors='replace') as file:
            return file.read()

    async def call(self, method, path, body=None, host='jobs.example', timeout=3.5, port=None, deadline=3000):
        """One request on a connection of its own; (0, '') without an answer."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection('127.0.0.1', port or self.front), timeout)
            text = b'' if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            writer.write(('%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nX-Daisypass-Deadline-Ms: %d\r\n'
                          'Connection: close\r\n\r\n' % (method, path, host, len(text), deadline)).encode() + text)
            await writer.drain()
            data = await asyncio.wait_for(reader.read(-1), timeout)
            head, _, rest = data.partition(b'\r\n\r\n')
            return int(head.split(b' ', 2)[1]), rest.decode(errors='replace')
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, ''
        finally:
            if writer:
                writer.close()


class Deployment:
    def __init__(self, directory, record, nodes=3):
        self.directory = directory
        self.platform = Platform(record)
        self.nodes = [Node(self, i) for i in range(nodes)]

    def configuration(self, version=1, pools=('pool-0',), attempts=4, spare=True, **more):
        self.platform.store.put('op', 'config', {
            'Version': version,
            'Routes': [dict({'Name': 'queue-%d' % i, 'Host': 'jobs.example', 'PathPrefix': '/queue-%d/' % i, 'Service': pool, 'Priority': 0, 'MaxAttempts': attempts,
                        'Stretch': 1.6, 'TargetDurationMs': 600, 'TimeoutMs': 3000}, **more) for i, pool in enumerate(pools)],
            'Services': [{'Name': pool, 'HealthPath': '/health', 'AdmissionCheck': False} for pool in pools]
            + ([{'Name': 'spare', 'HealthPath': '/health', 'AdmissionCheck': False, 'Spare': True}] if spare else []),
            'Limits': {'MaxBodyBytes': 262144}})

    async def start_nodes(self):
        for node in self.nodes:
            await node.prepare(free_ports(16))
            node.start()
        for _ in range(200):
            answers = [await node.call('GET', '/-/ready', port=node.ready) for node in self.nodes]
            if all(a[0] == 200 for a in answers) and self.holder() is not None:
                return True
            await asyncio.sleep(0.05)
        return False

    def holder(self):
        """The node that holds the lease, as its log says it."""
        found = None
        for node in self.nodes:
            if not node.alive():
                continue
            text = node.log()
            start = text.rfind('"event":"started"')
            gained, lost = text.rfind('"term_recovered"'), max(text.rfind('"term_lost"'), text.rfind('"terminating"'))
            if gained > max(start, lost):
                line = text[text.rfind('\n', 0, gained) + 1:text.find('\n', gained)]
                at = json.loads(line)['time_ms']
                if found is None or at > found[0]:
                    found = (at, node)
        return found[1] if found else None

    def end(self):
        for node in self.nodes:
            if node.alive():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for executor in self.platform.executors.values():
            if executor.beat:
                executor.beat.cancel()


def free_ports(count):
    """A range of free ports."""
    for _ in range(100):
        first = random.randrange(20000, 32000, 20)
        sockets = []
        try:
            for port in range(first, first + count):
                one = socket.socket()
                sockets.append(one)
                one.bind(('127.0.0.1', port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise RuntimeError('no free ports')


def job_id():
    """16 hexadecimal digits. The last one is a letter, so that no task's name (ID.K.STEP.INDEX) looks like an address."""
    return '%015x' % random.getrandbits(60) + random.choice('abcdef')


def run_case(folder, play):
    """Plays a case with a temporary folder, and exits with its result.

    `play(deployment, trouble)` returns the texts that say how the rule was broken; an empty list if it held; None if the case couldn't run.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print('the build of deploy/system.toml is missing: ' + PROGRAM)
        sys.exit(2)

    directory = tempfile.mkdtemp()
    record = open(os.path.join(folder, 'record.txt'), 'w')
    deployment = Deployment(directory, record)

    async def bounded():
        try:
            return await asyncio.wait_for(play(deployment, trouble), 112)
        except asyncio.TimeoutError:
            return None
        finally:
            deployment.end()

    def finish(broken):
        result = 2 if broken is None else 1 if broken else 0
        for text in broken or []:
            record.write('broken: ' + text + '\n')
            print('broken: ' + text)
        record.write('exit %d\n' % result)
        record.close()
        shutil.rmtree(directory, ignore_errors=True)
        print({0: 'the rule held', 1: 'the rule was broken', 2: "the case couldn't run"}[result], flush=True)
        # The stand-ins' open connections need no orderly end.
        os._exit(result)

    async def whole():
        finish(await bounded())

    asyncio.run(whole())
