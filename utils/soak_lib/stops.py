"""Planned stops beside long streams: the clients, and the judge.

Streams outlast the stop of the gateway that took them, and cannot be resumed.
"""

import asyncio
import collections
import socket
import time

from . import clients, http1, stand_ins, world

GRACE_S = 8.0
# Workers that are still at work in the last part of the grace time excuse the
# end of a request that was sent no later than this after SIGTERM.
LAST_PART_S = GRACE_S / 6
TAKEN_FOR_S = 3.0
# A connection that ends within this after the last byte was not read.
LOSS_SLACK_S = 0.2
# Time between the events of a stream, and most events of one.
EVENT_PACE_S, MAX_EVENTS = 0.08, 216
ROUTES = {
    "chat": {"prefix": "/chat/", "kind": "stream", "service": "model",
             "attempts": 1, "timeout_ms": 15000, "slo_ms": 120,
             "resumable": False, "gap_aim_ms": 150},
    "tag": {"prefix": "/tag/", "kind": "stream", "service": "model",
            "attempts": 2, "timeout_ms": 2000, "slo_ms": 150,
            "resumable": True, "gap_aim_ms": 150},
    "book": {"prefix": "/book/", "kind": "unsafe", "service": "shop",
             "attempts": 1, "timeout_ms": 600, "slo_ms": 100},
}
# Of the requests; the rest are chats.
TAG_SHARE, BOOK_SHARE = 0.1, 0.1
CHUNKED_SHARE, SLOW_SHARE, PAUSE_SHARE, KEPT_SHARE = 0.3, 0.1, 0.1, 0.5
SMALL_WINDOW = 16 * 1024
# Chats on open connections when a stopping gateway ceases to take requests, and
# when they are sent after SIGTERM.
EDGE, EDGE_S = 20, (2.6, 3.2)


# Streams that an engine generates at once.
SLOTS = 256


class World(world.World):
    def routes(self):
        return ROUTES

    async def add_upstream(self, service, role, identity=None):
        upstream = await super().add_upstream(service, role, identity)
        upstream.slots = SLOTS
        self.put_upstream(upstream)
        return upstream

    def put_config(self, *args, **kwargs):
        super().put_config(*args, **kwargs)
        for service in self.config["services"]:
            service["max_conns"] = 4 * SLOTS
            if "engine" in service:
                service["engine"].update(slots=SLOTS, kv_capacity=4000000)
        self.store.put("op", "config", self.config)


class Request(clients.Request):
    """One attempt; `sent_from` to `sent` is when its bytes were sent."""

    events = 0
    chunked = slow = pauses = False
    sent_from = sent = sigterm = None
    # What the client came back after, if this is a second attempt.
    first = None


class Lateness:
    """When this process came late to see what had happened."""

    STEP_S, MIN_S = 0.02, 0.02

    def __init__(self):
        # End and length of each span in which it saw nothing.
        self.spans = []

    async def watch(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(self.STEP_S)
            late = time.monotonic() - began - self.STEP_S
            if late > self.MIN_S:
                self.spans.append((time.monotonic(), late))

    def within(self, since, to):
        return sum(late for end, late in self.spans
                   if since < end and end - late < to)


class Clients(clients.Clients):
    """Clients that keep addresses and connections, as the pages say."""

    def __init__(self, deployment):
        super().__init__(deployment)
        # Idle connections by port.
        self.idle = collections.defaultdict(list)
        # Times of SIGTERM by gateway, of its present process.
        self.sigterms = {}

    async def session(self):
        draw = self.random.random()
        kind = ("tag" if draw < TAG_SHARE else
                "book" if draw < TAG_SHARE + BOOK_SHARE else "chat")
        request = await self.attempt(kind)
        if request.status != 503 or request.refused_for_s is None:
            return
        await asyncio.sleep(request.refused_for_s)
        again = await self.attempt(kind, first=request)
        request.again = again

    async def attempt(self, kind, first=None):
        request = self.draw(kind)
        request.first = first
        port = await self.choose_other(first)
        if port is None:
            return request
        self.requests[request.identity] = request
        await self.play_out(request, self.exchange(request, port))
        return request

    @staticmethod
    async def play_out(request, exchange):
        try:
            await exchange
        except (OSError, http1.Cut, ValueError, asyncio.IncompleteReadError) \
                as error:
            request.end = type(error).__name__
        request.ended = time.monotonic()

    async def attempts_at_edge(self, gateway):
        """Clients that use their connections until a stopping gateway takes no
        more requests, and a little longer."""
        async def one(at):
            request = self.draw("chat")
            request.pauses = False
            self.requests[request.identity] = request
            await self.play_out(request, self.exchange_at(request, gateway, at))
        began = time.monotonic()
        await asyncio.gather(*(
            one(began + self.random.uniform(*EDGE_S)) for _ in range(EDGE)))

    async def exchange_at(self, request, gateway, at):
        reader, writer = await asyncio.open_connection("127.0.0.1",
                                                       gateway.front)
        await asyncio.sleep(at - time.monotonic())
        await self.ask_gateway(request, gateway, reader, writer)

    def draw(self, kind):
        self.count += 1
        identity = "%016x" % (self.count * 0x9e3779b97f4a7c15 % 2 ** 64)
        request = Request(identity, kind, "POST", ROUTES[kind]["prefix"] + "x",
                          b"body of " + identity.encode())
        request.events = (self.random.randint(1, MAX_EVENTS)
                          if kind == "chat" else 2)
        request.chunked = self.random.random() < CHUNKED_SHARE
        request.slow = self.random.random() < SLOW_SHARE
        request.pauses = self.random.random() < PAUSE_SHARE
        request.end = "none"
        return request

    async def choose_other(self, first):
        """An address, other than that which has refused."""
        for _ in range(8):
            port = await self.choose()
            if first is None or first.gateway is None:
                return port
            if port != first.gateway.front:
                return port
        return port

    def take_idle(self, port):
        while self.idle[port]:
            connection = self.idle[port].pop()
            if connection.usable(self.world.idle_s):
                return connection
            connection.writer.transport.abort()
        return None

    def close_idle(self):
        for connections in self.idle.values():
            for connection in connections:
                connection.writer.transport.abort()

    async def open(self, request, port):
        kept = None
        if request.first is None and self.random.random() < KEPT_SHARE:
            kept = self.take_idle(port)
        if kept is not None:
            request.on_kept = True
            return kept.reader, kept.writer, port
        reader, writer, port = await self.connect(port)
        if request.pauses:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        return reader, writer, port

    async def exchange(self, request, port):
        reader, writer, port = await self.open(request, port)
        gateway = next(gateway for gateway in self.world.gateways
                       if gateway.front == port)
        await self.ask_gateway(request, gateway, reader, writer)

    async def ask_gateway(self, request, gateway, reader, writer):
        request.gateway = gateway
        request.sigterm = lambda started=gateway.process: \
            self.sigterms.get(started)
        keep = False
        try:
            await self.send(request, writer)
            keep = await self.receive(request, reader)
        finally:
            if keep:
                self.idle[gateway.front].append(clients.KeptConnection(
                    gateway.front, reader, writer))
            else:
                writer.transport.abort()

    async def send(self, request, writer):
        fields = {"Host": world.HOST, "Request-Id": request.identity,
                  "Deadline-Ms": str(ROUTES[request.kind]["timeout_ms"])}
        if request.kind != "book":
            own = "%x" % self.random.getrandbits(32)
            fields.update({
                "Model": "m", "Token-Count": "220,%d" % request.events,
                "Prompt-Prefix": "9:80,%s:140" % own,
                "Stand-In-Events": str(request.events),
                "Stand-In-Pace": str(EVENT_PACE_S / stand_ins.EVENT_PAUSE_S)})
        data = self.encode(request, fields)
        cut = len(data) - 12 if request.slow else 0
        request.sent_from = time.monotonic()
        if request.slow:
            writer.write(data[:cut])
            await writer.drain()
            await asyncio.sleep(self.random.uniform(0.02, 0.6))
        request.sent = time.monotonic()
        writer.write(data[cut:])

    @staticmethod
    def encode(request, fields):
        first = "%s %s HTTP/1.1" % (request.method, request.target)
        if not request.chunked:
            return http1.message(first, fields, request.body)
        lines = [first] + ["%s: %s" % item for item in fields.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        return ("\r\n".join(lines).encode("latin-1") +
                http1.chunk(request.body[:7]) + http1.chunk(request.body[7:]) +
                http1.chunk(b""))

    async def receive(self, request, reader):
        """Returns whether the connection may be kept."""
        first, answer = await http1.read_head(reader)
        request.status = int(first.split(" ")[1])
        if "retry-after" in answer:
            request.refused_for_s = float(answer["retry-after"])
        if request.pauses:
            await asyncio.sleep(self.random.uniform(1.0, 6.0))
        if "chunked" in answer.get("transfer-encoding", ""):
            while data := await http1.read_chunk(reader):
                request.answer += data
        else:
            request.answer = await http1.read_body(reader, answer)
        request.complete = True
        return answer.get("connection") != "close"


def judge(requests, runs, lateness):
    """What planned stops did to the requests, by the rule and beyond it."""
    found = collections.defaultdict(list)
    by_request = collections.defaultdict(list)
    for run in runs:
        by_request[run.request].append(run)
    for request in requests.values():
        verdict = judge_one(request, by_request[request.identity], lateness)
        if verdict:
            found[verdict].append(request)
    return found


def count_sent_in_stops(requests):
    """Chats whose last byte was sent while their gateway had to take some."""
    return sum(request.kind == "chat" and request.sent is not None and
               request.sigterm() is not None and
               0 < request.sent - request.sigterm() <= TAKEN_FOR_S
               for request in requests.values())


def judge_one(request, runs, lateness):
    """Empty if it was answered in full, else `lost` (by the rule), `cut taken`
    (sent after SIGTERM, and cut or failed), `cut` (sent before), `late` (its
    time was up), `crossed` (not read), `refused`, `refused twice` (at a second
    gateway as well), or a text that says what else went wrong."""
    if request.sent_from is None:
        return "no connection"
    at = request.sigterm and request.sigterm()
    if request.complete and request.status == 200:
        whole = request.answer == whole_answer(request)
        return "" if whole else "complete, not whole"
    deadline_s = ROUTES[request.kind]["timeout_ms"] / 1000
    if request.ended - request.sent_from > deadline_s - 0.1:
        return "late"
    if request.status == 503 and request.complete:
        return judge_refused(request, runs)
    if at is None or not at < request.ended < at + GRACE_S + 1:
        return "ended without a stop"
    last_part = at + GRACE_S - LAST_PART_S
    if request.complete:
        ended_by_stop = request.status in (502, 504) and \
            request.ended > last_part
        return (judge_cut(request, at) if ended_by_stop else
                "failed %d" % request.status)
    slack_s = LOSS_SLACK_S + lateness.within(request.sent_from, request.ended)
    if not runs and request.ended < request.sent + slack_s:
        return "crossed"
    at_work = any(run.ended is None or run.ended > last_part for run in runs)
    if at_work and request.sent <= at + TAKEN_FOR_S:
        return judge_cut(request, at)
    return "lost"


def whole_answer(request):
    if request.kind == "book":
        return stand_ins.body_of(request.identity)
    return b"".join(stand_ins.event_of(request.identity, event, "v1")
                    for event in range(1, request.events + 1))


def judge_cut(request, at):
    return "cut taken" if request.sent > at else "cut"


def judge_refused(request, runs):
    if runs:
        return "ran and refused"
    return "refused twice" if request.first is not None else "refused"


def describe(request, runs):
    """One line of the timeline; times in seconds from SIGTERM."""
    at = request.sigterm and request.sigterm() or request.sent or request.began

    def rel(moment):
        return "-" if moment is None else "%.3f" % (moment - at)
    ran = " ".join("%s %s..%s" % (run.upstream, rel(run.began), rel(run.ended))
                   for run in runs)
    return ("%s %s %s sent %s..%s end %s %s status %s events %d of %d run [%s]%s"
            % (request.kind, request.identity,
               request.gateway and request.gateway.name,
               rel(request.sent_from), rel(request.sent), rel(request.ended),
               request.end, request.status, request.answer.count(b"\n\n"),
               request.events, ran, "".join(
                   " " + name for name in ("chunked", "slow", "pauses",
                                           "on_kept")
                   if getattr(request, name))))
