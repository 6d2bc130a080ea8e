"""Model workers that stream events, and clients that read them."""

import asyncio
import json
import time

from harness import (Cut, HOST, Server, chunk, message, read_body, read_chunk,
                     read_head, reply)

HEARTBEAT_S = 1.2
SERVICE = "asistente-copa"
PREFIX = "/chat/"

ROUTE = {"name": "r-chat", "host": HOST, "prefix": PREFIX, "kind": "stream",
         "service": SERVICE, "attempts": 2, "timeout_ms": 15000,
         "slo_ms": 120, "priority": 1, "resumable": True, "sticky": True,
         "gap_aim_ms": 150}
MODEL_SERVICE = {
    "name": SERVICE, "health_path": "/healthz", "max_conns": 250,
    "engine": {"slots": 32, "kv_capacity": 232000, "kv_token_bytes": 327680,
               "link_mbps": 8800000.0, "kv_ttl_s": 5.0}}


class Worker(Server):
    """A decode worker.  Each start of it is an incarnation of its own."""

    def __init__(self, case, identity, number, version, events=60, pace_s=0.05):
        super().__init__()
        self.case, self.identity, self.version = case, identity, version
        self.address = ("%s.%d" % (case.net, 100 + number), 8587)
        self.events, self.pace_s = events, pace_s
        self.zone = "zone-" + "abc"[number % 3]
        self.arrivals = []
        self.crashes = []
        self.is_up = False
        # Ends the worker in the middle of a run, if it returns true.
        self.is_fatal = lambda request, fields, event: False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.is_up = True
        await self.listen(*self.address)
        self.case.note("worker", self.identity, "starts", self.version,
                       "born", self.born)
        self.heart = self.case.spawn(self.beat())

    async def beat(self):
        """Writes the entry; it changes when more than `seq` does."""
        registered = False
        while True:
            self.seq += 1
            while self.case.store.silent:
                await asyncio.sleep(0.05)
            if not registered:
                self.register("ready")
                registered = True
            await asyncio.sleep(HEARTBEAT_S)

    def register(self, state):
        self.case.store.put("servers", self.identity, {
            "service": SERVICE, "addr": "%s:%d" % self.address,
            "zone": self.zone, "version": self.version, "slots": 32,
            "state": state, "cold_left_ms": 0, "seq": self.seq,
            "born": self.born, "phase": "decode",
            "models": [{"name": "m", "version": 1, "adapters": []}]})
        self.case.note("entry", self.identity, state, self.version)

    def crash(self):
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append(time.monotonic())
        self.case.note("worker", self.identity, "crashes")
        self.heart.cancel()
        self.close()

    async def exchange(self, reader, writer):
        first, fields = await read_head(reader)
        await read_body(reader, fields)
        method, target, _ = first.split(" ")
        expected = fields.get("expect-instance")
        if expected not in (None, self.identity):
            writer.write(reply(421, {"Instance-Id": self.identity}))
            return True
        if target == "/healthz":
            writer.write(reply(200, {"Instance-Id": self.identity}))
            return True
        if target == "/report":
            report = {"phase": "decode", "busy": False, "seq": 0, "queued": 0,
                      "running": 0, "kv_used": 0, "kv_total": 232000,
                      "kv_handles": 0, "born": self.born,
                      "models": [{"name": "m", "version": 1, "adapters": []}]}
            writer.write(reply(200, {"Content-Type": "application/json"},
                               json.dumps(report).encode()))
            return True
        request = fields.get("request-id")
        if not request or method != "POST":
            writer.write(reply(400, {"Not-Run": "1"}))
            return True
        self.arrivals.append((time.monotonic(), request))
        self.case.note("run", request, "at", self.identity, self.version,
                       "after", fields.get("last-event-id", "0"))
        return await self.stream(request, fields, reader, writer)

    async def stream(self, request, fields, reader, writer):
        left = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.sleep(0.02)
            head = {"Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked", "Request-Id": request,
                    "Server-Stamp": "%s.%s" % (self.identity, self.version),
                    "Weight-Versions": "1"}
            writer.write(message("HTTP/1.1 200 OK", head, framed=False))
            first = int(fields.get("last-event-id", 0)) + 1
            for event in range(first, self.events + 1):
                writer.write(chunk(b"id: %d\ndata: %s %d %s\n\n" % (
                    event, request.encode(), event, self.version.encode())))
                await writer.drain()
                if self.is_fatal(request, fields, event):
                    self.crash()
                    raise Cut()
                await asyncio.wait([left], timeout=self.pace_s)
                if left.done():
                    raise Cut()
            writer.write(chunk(b""))
            await writer.drain()
            return True
        finally:
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)


class Stream:
    """A client's request for a stream, and what came of it."""

    def __init__(self, request, gateway):
        self.request, self.gateway = request, gateway
        self.status = None
        self.body = b""
        self.complete = False
        self.began = time.monotonic()

    def versions(self):
        """Software versions that wrote events of it, in their order."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            version = event.rsplit(b" ", 1)[1].decode()
            if version not in found:
                found.append(version)
        return found

    def events(self):
        return self.body.count(b"\n\n")


async def ask(case, gateway, request, target=PREFIX + "1", prefix="9:80",
              body=b"a question", limit_s=15.0, extra=None):
    """Sends one attempt on a new connection and reads what comes."""
    stream = Stream(request, gateway.name)
    writer = None
    case.note("ask", request, "at", gateway.name, target)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*gateway.front), 1)
        fields = {"Host": HOST, "Request-Id": request, "Model": "m",
                  "Token-Count": "220,60", "Prompt-Prefix": prefix,
                  "Deadline-Ms": "15000"}
        fields.update(extra or {})
        writer.write(message("POST %s HTTP/1.1" % target, fields, body))
        first, answer = await asyncio.wait_for(read_head(reader), limit_s)
        stream.status = int(first.split(" ")[1])
        if "chunked" in answer.get("transfer-encoding", ""):
            while data := await asyncio.wait_for(read_chunk(reader), limit_s):
                stream.body += data
        else:
            stream.body = await read_body(reader, answer)
        stream.complete = True
    except (OSError, Cut, asyncio.TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    case.note("answer", request, stream.status, stream.events(), "events of",
              ",".join(stream.versions()),
              "complete" if stream.complete else "broken off")
    return stream


class Clients:
    """Asks for streams at a steady rate, at any gateway."""

    def __init__(self, case, per_s):
        self.case, self.per_s = case, per_s
        self.streams = []
        self.tasks = set()
        self.count = 0

    def next_id(self):
        self.count += 1
        return "%016x" % (self.case.random.getrandbits(40) << 24 | self.count)

    async def run(self, for_s):
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            await asyncio.sleep(1 / self.per_s)
            self.tasks.add(asyncio.ensure_future(self.one()))
        await asyncio.wait(self.tasks)

    async def one(self):
        gateway = self.case.random.choice(self.case.gateways)
        own = "%x:140" % self.case.random.getrandbits(32)
        self.streams.append(await ask(self.case, gateway, self.next_id(),
                                      prefix="9:80," + own))
