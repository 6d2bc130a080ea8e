"""Stand-ins of a small deployment for the cases of the second review.

One asyncio process holds the platform's store, the workers and the clients.
The gateways are the project's own program, started as separate processes with
the command of the deploy file.  All addresses are loopback addresses.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()


def deploy_command():
    """The `run` line of the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    return re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - T0, text)
        print(line, file=self.file, flush=True)


async def read_head(reader):
    """Start line and header fields (names in lower case) of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


async def read_body(reader, fields):
    fields = dict(fields)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def message(status, body=b"", fields=(), reason="Answer"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode() + body


class Store:
    """The platform's metadata store: tables, transactions and feeds."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.rows = {}
        self.version = 100
        self.era = 1
        self.history = []
        self.changed = asyncio.Event()
        self.fault = None  # callable(method, path, query) -> None or a delay in s
        self.log = lambda text: None

    async def start(self):
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, table, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.version += 1
        self.rows[(table, "", key)] = (value, self.version)
        self.note((table, "", key))

    def drop(self, table, key):
        self.version += 1
        if self.rows.pop((table, "", key), None) is not None:
            self.note((table, "", key))

    def note(self, name):
        self.history.append((self.version, name))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def row(self, name):
        table, part, key = name
        entry = {"table": table, "part": part, "key": key}
        if name in self.rows:
            value, version = self.rows[name]
            entry["value"] = base64.b64encode(value).decode()
            entry["ver"] = version
        else:
            entry["removed"] = True
        return entry

    def now_ms(self):
        return int((time.monotonic() - T0) * 1000)

    async def answer(self, writer, status, body):
        body = dict(body, ver=self.version, now_ms=self.now_ms())
        data = json.dumps(body).encode()
        writer.write(message(status, data, [("Content-Type", "application/json"),
                                            ("Store-Era", self.era)]))
        await writer.drain()

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = start.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                if self.fault:
                    verdict = self.fault(method, path, query, body, writer)
                    if asyncio.iscoroutine(verdict):
                        verdict = await verdict
                    if verdict == "drop":
                        writer.close()
                        return
                await asyncio.sleep(0.003)
                await self.handle(method, path, query, body, writer)
                if dict(fields).get("connection", "") == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            writer.close()

    async def handle(self, method, path, query, body, writer):
        if path == "/rows-tx":
            status, reply = self.transact(json.loads(body))
            await self.answer(writer, status, reply)
        elif path == "/rows-get":
            names = sorted(n for n in self.rows
                           if n[0] == query["table"] and n[1] == query.get("part", "")
                           and n[2] >= query.get("from", "")
                           and ("to" not in query or n[2] < query["to"]))
            limit = min(int(query.get("limit", 500)), 500)
            await self.answer(writer, 200, {
                "rows": [self.row(n) for n in names[:limit]],
                "truncated": len(names) > limit})
        elif path == "/rows-feed":
            await self.feed(query, writer)
        else:
            await self.answer(writer, 404, {})

    def transact(self, call):
        def name(entry):
            return (entry["table"], entry.get("part", ""), entry["key"])
        for entry in call.get("expected", []):
            present = self.rows.get(name(entry), (b"", 0))[1]
            if present != entry["ver"]:
                return 412, {"rows": [self.row(name(e)) for e in call["expected"]]}
        self.version += 1
        changed = []
        for entry in call.get("set_keys", []):
            value = base64.b64decode(entry["value"])
            self.rows[name(entry)] = (value, self.version)
            changed.append(name(entry))
        for entry in call.get("delete", []):
            self.rows.pop(name(entry), None)
            changed.append(name(entry))
        for item in changed:
            self.note(item)
        return 200, {}

    async def feed(self, query, writer):
        after = int(query["after"])
        if after > self.version:
            await self.answer(writer, 410, {})
            return
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        era = self.era
        while True:
            names = []
            for version, name in self.history:
                if version > after and name[0] == query["table"] and name not in names:
                    names.append(name)
            left = end - time.monotonic()
            if names or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.era != era:
                await self.answer(writer, 410, {})
                return
        await self.answer(writer, 200, {"rows": [self.row(n) for n in names]})


class Worker:
    """A worker: registers, checks Expect-Instance, runs requests."""

    def __init__(self, store, service, ip, slots=6, phase=None, work_s=0.02,
                 version="v1", record=None, heartbeat_s=1.2):
        self.store, self.service, self.ip = store, service, ip
        self.slots, self.phase, self.work_s = slots, phase, work_s
        self.version, self.record = version, record or (lambda text: None)
        self.heartbeat_s = heartbeat_s
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.seq, self.state = 0, "ready"
        self.orders = 0
        self.runs = []  # (time, request id, method, target)
        self.arrivals = []
        self.handles = {}
        self.hook = None  # async hook(worker, start, fields, body, reader, writer)
        self.extra_fields = []
        self.writers = set()
        self.busy = asyncio.Semaphore(slots)
        self.waiting = 0
        self.queue = 4 * slots

    async def start(self, port=None):
        self.born = int(time.time() * 1000)
        self.port = port or free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.register()
        self.beat_task = asyncio.ensure_future(self.beat())

    @property
    def addr(self):
        return "%s:%d" % (self.ip, self.port)

    def entry(self):
        entry = {"service": self.service, "addr": self.addr, "zone": "z-a",
                 "version": self.version, "slots": self.slots,
                 "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                 "born": self.born}
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            self.register()

    def crash(self, deregister_after=None):
        """Ends at once; the address refuses connections from now on."""
        self.server.close()
        self.beat_task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        if deregister_after is not None:
            asyncio.get_event_loop().call_later(
                deregister_after, self.store.drop, "servers", self.id)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, fields = await read_head(reader)
                values = dict(fields)
                method, target, _ = start.split(" ")
                body = await read_body(reader, fields)
                if self.hook and await self.hook(self, start, fields, body, reader, writer):
                    continue
                if not await self.handle(method, target, values, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, values, body, writer):
        rid = values.get("request-id", "")
        expected = values.get("expect-instance")
        if expected and expected != self.id:
            writer.write(message(421, b"", [("Instance-Id", self.id)] +
                                 ([("Request-Id", rid)] if rid else [])))
            await writer.drain()
            return True
        if target in ("/healthz", "/report"):
            reply = {"phase": self.phase or "", "models": [], "busy": False,
                     "seq": self.orders, "queued": 0, "running": 0, "kv_used": 0,
                     "kv_total": 90000, "kv_handles": 0, "born": self.born}
            writer.write(message(200, json.dumps(reply).encode(),
                                 [("Instance-Id", self.id)] + self.extra_fields))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), rid, method, target))
        if self.waiting >= self.queue:
            writer.write(message(503, b"", [("Not-Run", "1"), ("Request-Id", rid)]))
            await writer.drain()
            return True
        self.waiting += 1
        try:
            await self.busy.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.run(method, target, values, body, writer)
        finally:
            self.busy.release()
        return True

    def stamp(self):
        return "%s.%s" % (self.id, uuid.uuid4().hex[:8])

    async def run(self, method, target, values, body, writer):
        rid = values.get("request-id", "")
        self.runs.append((time.monotonic(), rid, method, target))
        self.record("worker %s runs %s %s id=%s body=%d bytes" %
                    (self.id, method, target, rid, len(body)))
        await asyncio.sleep(self.work_s)
        writer.write(message(200, b"done " + rid.encode(), [
            ("Request-Id", rid), ("Server-Stamp", self.stamp())] + self.extra_fields))
        await writer.drain()


class Engine(Worker):
    """A model worker with the stages prefill and decode."""

    def __init__(self, store, service, ip, event_s=0.02, **options):
        options.setdefault("slots", 12)
        super().__init__(store, service, ip, **options)
        self.event_s = event_s
        self.prefills = []
        self.streams = {}  # request id -> events made

    async def run(self, method, target, values, body, writer):
        rid = values.get("request-id", "")
        if method == "DELETE":
            writer.write(message(200))
            await writer.drain()
            return
        if target == "/order":
            await self.order(json.loads(body), writer)
            return
        wanted = "prefill" if values.get("stage") == "prefill" else "decode"
        if wanted != self.phase:
            writer.write(message(421, b"", [("Instance-Id", self.id), ("Request-Id", rid),
                                            ("Not-Run", "1")]))
            await writer.drain()
            return
        if wanted == "prefill":
            self.prefills.append((time.monotonic(), rid))
            await asyncio.sleep(self.work_s)
            handle = uuid.uuid4().hex[:12]
            self.handles[handle] = rid
            reply = json.dumps({"handle": handle, "tokens": 1000, "version": 1})
            writer.write(message(200, reply.encode(), [
                ("Request-Id", rid), ("Server-Stamp", self.stamp()),
                ("Content-Type", "application/json")] + self.extra_fields))
            await writer.drain()
            return
        await self.stream(rid, values, writer)

    async def order(self, order, writer):
        self.orders += 1
        self.phase = order.get("phase", self.phase)
        self.record("worker %s gets order %s" % (self.id, order))
        writer.write(message(202))
        await writer.drain()
        self.register()

    async def stream(self, rid, values, writer):
        first = int(values.get("last-event-id", "0")) + 1
        last = int(values.get("token-count", "1,5").split(",")[1])
        self.runs.append((time.monotonic(), rid, "POST", first))
        self.record("worker %s (%s) runs stream id=%s from event %d" %
                    (self.id, self.version, rid, first))
        await asyncio.sleep(self.work_s)
        head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n" % (rid, self.stamp())
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(first, last + 1):
            event = ("id: %d\ndata: %s/%s/%d\n\n" % (number, self.version, rid, number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.streams[rid] = number
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, folder, ip, name, store_addr, bootstrap=True, zone="z-a"):
        self.folder, self.ip, self.name = folder, ip, name
        self.store_addr, self.bootstrap, self.zone = store_addr, bootstrap, zone
        self.ports = {k: free_port(ip) for k in
                      ("front", "ready", "directory", "peer", "forward", "admin")}
        self.process = None
        self.starts = 0
        self.overrides = {}

    def addr(self, what):
        return self.ip, self.ports[what]

    def write_settings(self):
        listen = {k: "%s:%d" % (self.ip, p) for k, p in self.ports.items()}
        settings = {
            "instance": self.name, "availability_zone": self.zone, "listen": listen,
            "store": self.store_addr, "max_descriptors": 1024, "memory_mb": 390,
            "stop_grace_s": 8, "directory_ttl_max_s": 5,
            "initial_start": self.bootstrap, "lease_s": 3.0,
            "retries": {"ratio": 0.2, "slack": 54, "window_s": 10}}
        settings.update(self.overrides)
        self.settings = os.path.join(self.folder, self.name + ".json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        self.log = open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), "w")
        self.starts += 1
        env = {"PATH": os.environ.get("PATH", ""), "CORIANDERLINK_SETTINGS": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def restart(self):
        self.bootstrap = False
        await self.start()

    async def ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                status, _, _ = await get(self.addr("ready"), "/readyz")
                if status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False


async def get(addr, target, timeout=2):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*addr), timeout)
    try:
        writer.write(("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                      % target).encode())
        start, fields = await asyncio.wait_for(read_head(reader), timeout)
        body = await asyncio.wait_for(read_body(reader, fields), timeout)
        return int(start.split(" ")[1]), fields, body
    except (asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        raise OSError(str(error))
    finally:
        writer.close()


def new_id():
    return uuid.uuid4().hex[:16]


async def request(addr, method, target, host, fields=(), body=b"", timeout=5,
                  rid=None, deadline_ms=2500):
    """One client attempt on a new connection.

    Returns (status, fields, body), with status 0 if the connection ended
    without an answer and -1 if there was none in time."""
    rid = rid or new_id()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*addr), 1)
    except (OSError, asyncio.TimeoutError):
        return 0, [], b""
    try:
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
            method, target, host, rid, deadline_ms)
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        start, answer = await asyncio.wait_for(read_head(reader), timeout)
        data = await asyncio.wait_for(read_body(reader, answer), timeout)
        return int(start.split(" ")[1]), answer, data
    except asyncio.TimeoutError:
        return -1, [], b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, [], b""
    finally:
        writer.close()


def route(name, prefix, kind, service, timeout_ms=2500, attempts=1, slo_ms=150,
          priority=2, **more):
    return dict({"name": name, "host": "shop.example", "prefix": prefix, "kind": kind,
                 "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": priority,
                 "service": service, "attempts": attempts, "sticky": False,
                 "resumable": False}, **more)


def config(version, routes, services, idle_timeout_ms=15000):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms}}


def plain_service(name, max_conns=100):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns,
            "proto": "h1", "tls": False}


def engine_service(name, slots=12):
    return dict(plain_service(name, 150), engine={
        "slots": slots, "kv_capacity": 1437124, "kv_token_bytes": 18432,
        "link_mbps": 2900000.0, "kv_ttl_s": 5.0, "role_switch_s": 3.0,
        "models": [{"name": "m"}]})


class Fleet:
    """Store, gateways and the folder of one run; ends all that it started."""

    def __init__(self, case_folder, gateways=2):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.count = gateways
        self.gateways = []
        self.workers = []

    async def start(self, first_config):
        await self.store.start()
        self.store.put("op", "config", first_config)
        store_addr = "%s:%d" % (self.store.ip, self.store.port)
        for i in range(self.count):
            gateway = Gateway(self.folder, "127.0.0.%d" % (11 + i), "front-%d" % (i + 1),
                              store_addr)
            self.gateways.append(gateway)
            await gateway.start()

    async def worker(self, service, kind=None, **options):
        worker = (kind or Worker)(self.store, service,
                                  "127.0.0.%d" % (31 + len(self.workers)),
                                  record=self.record, **options)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def stop(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.returncode is None:
                gateway.signal(signal.SIGCONT)
                gateway.signal(signal.SIGKILL)
                await gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def logs(self, pattern):
        found = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                for line in open(os.path.join(self.folder, name)):
                    if re.search(pattern, line):
                        found.append(name + ": " + line.strip())
        return found


def main(case, folder, limit_s=115):
    """Runs a case's coroutine; exits with 1 if the rule was broken, 0 if it
    held, and 2 if the case couldn't run."""
    async def bounded():
        return await asyncio.wait_for(case(), limit_s)
    try:
        code = asyncio.run(bounded())
    except Exception as error:  # the case couldn't run
        print("could not run: %r" % error)
        code = 2
    sys.stdout.flush()
    os._exit(code)
