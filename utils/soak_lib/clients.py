"""Clients of the soak, and what each request came to."""

import asyncio
import json
import socket
import time

from . import http1, stand_ins, world

MAX_RESUMPTIONS = 3
# They promise that the request has not run and never will.
REFUSALS = (408, 421, 429, 503)


class Request:
    """One attempt of a client, and its end."""

    def __init__(self, identity, kind, method, target, body):
        self.identity, self.kind = identity, kind
        self.method, self.target, self.body = method, target, body
        self.began = time.monotonic()
        self.ended = None
        self.status = None
        self.signer = None
        # The request that the answer names.
        self.named = None
        self.answer = b""
        self.complete = False
        self.left_at = None
        self.refused_for_s = None
        # It was sent on a connection that earlier requests had used.
        self.on_kept = False
        self.gateway = None
        # Its build, and whether it was told to stop before the request ended.
        self.build, self.at_leaving = None, False
        # The attempt that began this stream, if this one resumes it, and the
        # last event that the client has.
        self.begun_by, self.after = None, 0
        # The attempt with the same id that was refused before.
        self.earlier = None

    def name(self):
        at = "no gateway"
        if self.gateway:
            at = "%s (%s)" % (self.gateway.name, self.build)
        ended_s = time.time() - time.monotonic() + self.ended
        clock = time.strftime("%H:%M:%S", time.gmtime(ended_s))
        return "%s %s at %s, end %s" % (self.kind, self.identity, at, clock)

    def attempts(self):
        """Those with its id, the last one first."""
        attempt = self
        while attempt is not None:
            yield attempt
            attempt = attempt.earlier

    def events(self):
        """Number of the last whole event of the stream that has arrived."""
        return self.after + self.answer.count(b"\n\n")


# Clients use a connection that was idle for up to this share of the limit.
IDLE_SHARE = 0.8


class KeptConnection:
    """A connection to a gateway, idle since that time."""

    def __init__(self, port, reader, writer):
        self.port, self.reader, self.writer = port, reader, writer
        self.idle_since = time.monotonic()

    def usable(self, idle_s):
        idle = time.monotonic() - self.idle_since
        ended = self.reader.at_eof() or self.reader.exception() is not None
        return idle < idle_s * IDLE_SHARE and not ended


# A client with a small window reads nothing for a time within its answer: what
# follows is longer than the gateway's buffers.
PAUSING_SHARE, PAUSE_S, SMALL_WINDOW = 0.25, (2.2, 3.0), 16 * 1024

# Clients that come back after refusals: how often, within what time, and which
# share of them with the id that was refused.
MAX_RETURNS, RETURN_S, SAME_ID_SHARE = 4, 0.2, 0.8

# Clients that keep the directory's answers, and for how many times its TTL.
KEEPERS, KEPT_TTLS = 12, (1, 3)
MAX_CONNECTS = 5


class Clients:
    def __init__(self, deployment):
        self.world = deployment
        # Addresses that a client keeps, and until when.
        self.addresses = {}
        # Idle connections; the one that was idle longest is first.
        self.kept = []
        self.random = deployment.random
        self.requests = {}
        self.count = 0

    async def run(self, until, rate):
        """Starts requests at `rate` a second, in the mean, until then."""
        self.until = until
        tasks = set()
        while time.monotonic() < self.until:
            await asyncio.sleep(self.random.expovariate(rate))
            task = asyncio.ensure_future(self.session())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        for connection in self.kept:
            connection.writer.transport.abort()

    async def session(self):
        """A request, repeated once as clients may."""
        kinds = list(self.world.routes())
        if self.world.twice is not None:
            kinds += 4 * ["unsafe"]
        kind = self.random.choice(kinds)
        request = await self.attempt(kind)
        if self.world.twice is not None:
            request = await self.come_back(request)
        if self.world.resumes and kind == "stream":
            await self.resume(request)
            return
        again = request.status in (429, 503)
        if not again or request.left_at is not None:
            return
        await asyncio.sleep(min(request.refused_for_s or 0.1, 1.0))
        await self.attempt(kind)

    async def come_back(self, request):
        """Asks again after refusals, mostly with the id that was refused."""
        for _ in range(MAX_RETURNS):
            if request.status not in REFUSALS or not request.complete:
                break
            await asyncio.sleep(self.random.uniform(0, RETURN_S))
            same = self.random.random() < SAME_ID_SHARE
            request = await self.attempt(request.kind,
                                         earlier=request if same else None)
        return request

    async def resume(self, request):
        """Takes a stream up again, as often as it breaks off."""
        begun_by, after = request, request.events()
        for _ in range(MAX_RESUMPTIONS):
            if request.complete and request.status == 200:
                return
            if request.left_at is not None or after == 0:
                return
            await asyncio.sleep(min(request.refused_for_s or 0.05, 0.5))
            request = await self.attempt("stream", begun_by=begun_by,
                                         after=after)
            after = max(after, request.events())

    async def choose(self):
        """An address to connect to."""
        if not self.world.keeps_addresses:
            return await self.resolve()
        client = self.random.randrange(KEEPERS)
        ports, until = self.addresses.get(client, ([], 0))
        if time.monotonic() > until or not ports:
            port = await self.resolve()
            if port is None and not ports:
                return None
            ports = ports if port is None else list(self.resolved)
            until = (time.monotonic() +
                     self.ttl_s * self.random.choice(KEPT_TTLS))
            self.addresses[client] = ports, until
        return self.random.choice(ports)

    def forget(self, port):
        """An address has failed."""
        for ports, _ in self.addresses.values():
            if port in ports:
                ports.remove(port)

    async def resolve(self):
        for gateway in self.random.sample(self.world.gateways,
                                          len(self.world.gateways))[:3]:
            try:
                answer = await asyncio.wait_for(self.ask(gateway), 1)
                if answer:
                    self.resolved = answer
                    return self.random.choice(answer)
            except (OSError, http1.Cut, ValueError, asyncio.TimeoutError):
                continue
        return None

    async def ask(self, gateway):
        reader, writer = await asyncio.open_connection("127.0.0.1",
                                                       gateway.directory)
        try:
            writer.write(http1.message("GET /resolve?name=%s HTTP/1.1" %
                                       world.HOST, {"Host": world.HOST}))
            first, fields = await http1.read_head(reader)
            body = await http1.read_body(reader, fields)
            if " 200 " not in first:
                return []
            answer = json.loads(body)
            self.ttl_s = answer["ttl_s"]
            return [int(a.split(":")[1]) for a in answer["addrs"]]
        finally:
            writer.transport.abort()

    async def attempt(self, kind, item="x", begun_by=None, after=0,
                      earlier=None):
        self.count += 1
        identity = "%016x" % (self.count * 0x9e3779b97f4a7c15 % 2 ** 64)
        if earlier:
            identity = earlier.identity
        route = world.route_of(kind)
        repeatable = route["kind"] == "safe"
        method = "GET" if repeatable else "POST"
        body = b"" if repeatable else b"body of " + identity.encode()
        if item != "x":
            body = b""
        request = Request(identity, kind, method, route["prefix"] + item, body)
        request.begun_by, request.after = begun_by, after
        request.earlier = earlier
        port = await self.choose()
        if port is None:
            return request
        self.requests[identity] = request
        limit_s = route["timeout_ms"] / 1000 + 2
        leave_s = limit_s
        if self.random.random() < 0.08:
            leave_s = self.random.uniform(0.005, 0.15)
        try:
            await asyncio.wait_for(self.exchange(request, port), leave_s)
        except asyncio.TimeoutError:
            request.left_at = time.monotonic()
        except (OSError, http1.Cut, ValueError, asyncio.IncompleteReadError):
            pass
        request.ended = time.monotonic()
        if request.gateway:
            request.at_leaving = request.gateway.expected_end
            request.build = request.gateway.build
        return request

    def take_kept(self):
        """The kept connection that was idle longest, if one may be used."""
        while self.kept:
            connection = self.kept.pop(0)
            if connection.usable(self.world.idle_s):
                return connection
            connection.writer.transport.abort()
        return None

    async def connect(self, port):
        """A connection; to another address if one that was kept fails."""
        for _ in range(MAX_CONNECTS):
            try:
                return *await asyncio.open_connection("127.0.0.1", port), port
            except OSError:
                if not self.world.keeps_addresses:
                    raise
            self.forget(port)
            port = await self.choose() or port
        raise OSError("no address")

    async def exchange(self, request, port):
        kept = self.take_kept() if self.world.keeps_connections else None
        if kept is not None:
            request.on_kept = True
            reader, writer, port = kept.reader, kept.writer, kept.port
        else:
            reader, writer, port = await self.connect(port)
            if request.kind in world.LONG_ROUTES:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        request.gateway = next(gateway for gateway in self.world.gateways
                               if gateway.front == port)
        keep = False
        try:
            fields = {"Host": world.HOST, "Request-Id": request.identity,
                      "Deadline-Ms": str(world.route_of(request.kind)
                                         ["timeout_ms"])}
            if request.kind in ("stream", "once"):
                own = "%x" % self.random.getrandbits(32)
                fields.update({"Model": "m", "Token-Count": "220,80",
                               "Prompt-Prefix": "9:80,%s:140" % own})
            if request.begun_by is not None:
                fields.update({"Resumes": request.begun_by.identity,
                               "Last-Event-Id": str(request.after)})
            writer.write(http1.message(
                "%s %s HTTP/1.1" % (request.method, request.target), fields,
                request.body))
            first, answer = await http1.read_head(reader)
            request.status = int(first.split(" ")[1])
            request.signer = answer.get("server-stamp")
            request.named = answer.get("request-id")
            if "retry-after" in answer:
                request.refused_for_s = float(answer["retry-after"])
            if request.kind in world.LONG_ROUTES:
                if self.random.random() < PAUSING_SHARE:
                    await asyncio.sleep(self.random.uniform(*PAUSE_S))
            if "chunked" not in answer.get("transfer-encoding", ""):
                request.answer = await http1.read_body(reader, answer)
                request.complete = True
                keep = answer.get("connection") != "close"
                return
            while True:
                data = await http1.read_chunk(reader)
                if not data:
                    break
                request.answer += data
            request.complete = True
            keep = answer.get("connection") != "close"
        finally:
            if keep and self.world.keeps_connections:
                self.kept.append(KeptConnection(port, reader, writer))
            else:
                writer.transport.abort()


def whole_stream(request):
    """The rest of a stream, by the version that wrote its first event."""
    versions = stand_ins.versions_of(request.answer)
    version = min(versions).decode() if versions else "v1"
    return b"".join(
        stand_ins.event_of(request.identity, event, version)
        for event in range(request.after + 1, stand_ins.EVENTS + 1))
