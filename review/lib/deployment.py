"""A small deployment on loopback for the scripts in review/.

The gateways are the program of deploy/system.toml, as processes.  The store is
the project's own stand-in; the workers and the client below are new.  All times
are of the real clock.
"""

import asyncio
import json
import logging
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "utils"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from soak_lib import http1, stand_ins  # noqa: E402

# Workers go on writing for a moment after a gateway has ended.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)

PROGRAM = os.path.join(ROOT, "target", "corianderlink-gateway")
HOST = "review.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110
# A machine is in touch once nothing has happened to it for `contact_ms`.
CONTACT_S = 3.1

ROUTES = [
    {"name": "r-safe", "prefix": "/look/", "kind": "safe", "service": "shop",
     "attempts": 2, "timeout_ms": 2500, "slo_ms": 150, "priority": 2},
    {"name": "r-unsafe", "prefix": "/book/", "kind": "unsafe",
     "service": "shop", "attempts": 1, "timeout_ms": 2500, "slo_ms": 150,
     "priority": 2},
    {"name": "r-stream", "prefix": "/tag/", "kind": "stream",
     "service": "model", "attempts": 2, "timeout_ms": 2000, "slo_ms": 150,
     "priority": 0, "resumable": True, "gap_aim_ms": 150, "sticky": True},
    {"name": "r-chat", "prefix": "/chat/", "kind": "stream",
     "service": "model", "attempts": 1, "timeout_ms": 15000, "slo_ms": 120,
     "priority": 1, "resumable": False, "gap_aim_ms": 150, "sticky": True},
]
SERVICES = [
    {"name": "shop", "health_path": "/healthz", "max_conns": 110},
    {"name": "model", "health_path": "/healthz", "max_conns": 250,
     "engine": {"slots": 32, "kv_capacity": 232000, "kv_token_bytes": 327680,
                "link_mbps": 8800000.0, "kv_ttl_s": 5.0}},
]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_ports(count):
    """Ports of 127.0.0.1 that nothing listens on."""
    held = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, actor, text):
        self.file.write("%9.3f %-10s %s\n" %
                        (time.monotonic() - self.began, actor, text))
        self.file.flush()


class Worker(stand_ins.Server):
    """A worker; `answer(request)` sends the answer of a run."""

    backlog = 200

    def __init__(self, deployment, identity, service, slots, answer, role=None):
        super().__init__()
        self.deployment, self.identity = deployment, identity
        self.service, self.slots, self.role = service, slots, role
        self.answer = answer
        self.port = None
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []
        self.beat = None
        self.extra = {}

    async def start(self):
        self.port = free_ports(1)[0]
        await self.listen(self.port)
        self.beat = asyncio.ensure_future(self.heartbeat())

    def entry(self):
        entry = {"service": self.service, "addr": "127.0.0.1:%d" % self.port,
                 "zone": "zone-a", "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                 "born": self.born}
        if self.role:
            entry["phase"] = self.role
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    def register(self):
        self.seq += 1
        self.deployment.store.put("servers", self.identity, self.entry())

    async def exchange(self, reader, writer):
        first, fields = await http1.read_head(reader)
        body = await http1.read_body(reader, fields)
        method, target, _ = first.split(" ")
        record = self.deployment.record
        expected = fields.get("expect-instance")
        if expected and expected != self.identity:
            writer.write(stand_ins.reply(421, Instance_Id=self.identity))
            return True
        if target == "/healthz":
            writer.write(stand_ins.reply(200, Instance_Id=self.identity))
            return True
        if target == "/report":
            report = {"phase": self.role or "decode", "busy": False, "seq": 0,
                      "models": [], "queued": 0, "running": 0}
            writer.write(stand_ins.reply(200, json.dumps(report).encode()))
            return True
        if "request-id" not in fields:
            writer.write(stand_ins.reply(400, Not_Run="1"))
            return True
        request = Request(self, method, target, fields, body, reader, writer)
        if fields.get("stage") == "prefill":
            return await self.prefill(request)
        if len([r for r in self.runs if not r.ended]) >= self.slots:
            writer.write(stand_ins.reply(503, Not_Run="1",
                                         Request_Id=request.id))
            return True
        record(self.identity, "run begins: %s %s id=%s body=%d bytes" %
               (method, target, request.id, len(body)))
        self.runs.append(request)
        try:
            return await self.answer(request)
        finally:
            request.ended = time.monotonic()
            record(self.identity, "run ends: id=%s" % request.id)

    async def prefill(self, request):
        await asyncio.sleep(0.01)
        handle = {"handle": "h" + request.id, "tokens": 1, "version": 1}
        request.writer.write(stand_ins.reply(
            200, json.dumps(handle).encode(), Request_Id=request.id,
            Content_Type="application/json"))
        return True


class Request:
    """A request at a worker."""

    def __init__(self, worker, method, target, fields, body, reader, writer):
        self.worker, self.method, self.target = worker, method, target
        self.fields, self.body = fields, body
        self.reader, self.writer = reader, writer
        self.id = fields["request-id"]
        self.began = time.monotonic()
        self.ended = None

    def head(self, framing):
        return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n"
                "%s\r\n\r\n" % (self.id, self.worker.identity, framing)).encode()

    def reply(self, body):
        return stand_ins.reply(200, body, Request_Id=self.id,
                               Server_Stamp=self.worker.identity)


class Gateway:
    """A gateway process."""

    def __init__(self, deployment, name):
        self.deployment, self.name = deployment, name
        (self.front, self.ready, self.directory, self.peer, self.forward,
         self.admin) = free_ports(6)
        self.file = os.path.join(deployment.folder, name + ".conf")
        self.log = os.path.join(deployment.folder, name + ".log")
        self.process = None

    def write_settings(self):
        at = "127.0.0.1:%d"
        settings = {
            "instance": self.name, "availability_zone": "zone-a",
            "listen": {"front": at % self.front, "ready": at % self.ready,
                       "directory": at % self.directory, "peer": at % self.peer,
                       "forward": at % self.forward, "admin": at % self.admin},
            "store": at % self.deployment.store_port, "max_descriptors": 6150,
            "stop_grace_s": 8, "directory_ttl_max_s": 5, "lease_s": 3,
            "retries": {"ratio": 0.2, "slack": 58, "window_s": 10}}
        with open(self.file, "w") as f:
            json.dump(settings, f)

    async def start(self):
        self.write_settings()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "CORIANDERLINK_SETTINGS": self.file})
        self.deployment.record(self.name, "started")

    async def wait_ready(self, within_s=10):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun("%s ended at its start" % self.name)
            try:
                status, _, _ = await simple(self.ready, "GET", "/readyz")
                if status == 200:
                    self.deployment.record(self.name, "ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("%s was not ready in time" % self.name)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.deployment.record(self.name, "signal %s" %
                                   signal.Signals(number).name)
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                pages = int(f.read().split()[1])
        except (OSError, IndexError, ValueError):
            return 0
        return pages * resource.getpagesize() / 1e6


async def simple(port, method, target, fields=None, body=b"", timeout=3):
    """One call on a connection of its own: status, fields, body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = dict(fields or {})
        head.setdefault("Host", HOST)
        writer.write(http1.message("%s %s HTTP/1.1" % (method, target), head,
                                   body))
        first, got = await asyncio.wait_for(http1.read_head(reader), timeout)
        data = await asyncio.wait_for(http1.read_body(reader, got, True),
                                      timeout)
        return int(first.split(" ")[1]), got, data
    finally:
        writer.transport.abort()


class Deployment:
    """Store, workers and gateways; ends all that it started."""

    def __init__(self, folder):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/corianderlink-gateway is not built")
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = stand_ins.Store()
        self.store_port = free_ports(1)[0]
        self.workers, self.gateways = [], []
        self.routes = ROUTES
        self.services = SERVICES
        self.config_version = 0

    def put_config(self):
        self.config_version += 3
        routes = [dict(route, host=HOST) for route in self.routes]
        self.store.put("op", "config",
                       {"version": self.config_version, "routes": routes,
                        "services": self.services, "limits": LIMITS})
        self.record("operator", "config %d acknowledged" % self.config_version)

    async def start(self, workers, gateways=1):
        await self.store.listen(self.store_port)
        self.put_config()
        for worker in workers:
            self.workers.append(worker)
            await worker.start()
        for i in range(gateways):
            gateway = Gateway(self, "front-%d" % (i + 1))
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CONTACT_S)
        self.record("case", "the machines are in touch")

    async def stop(self):
        for gateway in self.gateways:
            if gateway.running():
                gateway.process.kill()
            if gateway.process:
                await gateway.process.wait()
        for worker in self.workers:
            if worker.beat:
                worker.beat.cancel()
            worker.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play):
    """Plays a case; `play(deployment)` returns what broke the rule, or
    nothing.  Exits with 1, 0 or, if the case could not run, 2."""

    async def run():
        deployment = Deployment(folder)
        deployment.record("case", "disruption %s" %
                          ("on" if TROUBLE else "off (TROUBLE=0)"))
        try:
            broken = await asyncio.wait_for(play(deployment), TIME_LIMIT_S)
        except CannotRun as error:
            deployment.record("case", "could not run: %s" % error)
            print("could not run: %s" % error)
            return 2
        finally:
            await deployment.stop()
        verdict = "BROKEN: %s" % broken if broken else "held"
        deployment.record("case", verdict)
        print(verdict)
        return 1 if broken else 0

    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001: any error of the script itself
        print("could not run: %r" % error)
        code = 2
    sys.exit(code)
