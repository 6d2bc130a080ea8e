"""Upstreams that write a refusal once more, clients that come back, the judge.

A copy is written later on the connection of the refusal, whatever that carries
by then.  It meets its request if that id is in progress there again.
"""

import asyncio
import collections
import time

from . import checks, clients, http1, ports, stand_ins, world

ROUTES = {
    "unsafe": {"prefix": "/book/", "kind": "unsafe", "service": "shop",
               "attempts": 2, "timeout_ms": 3000, "slo_ms": 150},
    "safe": {"prefix": "/look/", "kind": "safe", "service": "shop",
             "attempts": 2, "timeout_ms": 3000, "slo_ms": 150},
}
SAFE_SHARE = 0.12
REFUSED_SHARE = {"unsafe": 0.6, "safe": 0.2}
# Statuses of refusals, by their weight.
STATUSES, STATUS_WEIGHTS = (503, 429, 421), (90, 6, 4)
COPY_DELAY_S, WORK_S = 1.2, (0.6, 1.3)
TWO_COPIES, NO_ID, CLOSES, TWO_PIECES = 0.25, 0.08, 0.1, 0.2
# So many that no upstream is full: such refusals of the stand-in bear no id.
SLOTS = 256
# Clients: a new id after a refusal, no id at all, the wait, the time of all.
NEW_ID, WITHOUT_ID, WAIT_S, DEADLINE_S = 0.25, 0.04, (0.0, 0.04), 6.0
MAX_ATTEMPTS = 8
# What has no answer so long after its deadline gets none; this process may
# stand still for seconds on a busy machine.
LOST_AFTER_S = 10
# The others come back at once, though told to wait; or to any address.
WAITS_SHARE, SAME_ADDRESS_SHARE = 0.2, 0.8


class Connection:
    """What a connection to an upstream carries."""

    def __init__(self):
        # Id of the request in progress, and its attempt.
        self.identity = self.key = None
        # The rest of a copy of which one piece is written.
        self.rest = b""


class Upstream(stand_ins.Upstream):
    def __init__(self, deployment, *args):
        super().__init__(*args)
        self.slots, self.world = SLOTS, deployment
        self.random = deployment.random
        self.used = collections.defaultdict(Connection)

    async def _serve(self, reader, writer):
        try:
            await super()._serve(reader, writer)
        finally:
            self.used.pop(writer, None)

    def send(self, writer, head):
        # Nothing comes between the pieces of a copy.
        rest, self.used[writer].rest = self.used[writer].rest, b""
        super().send(writer, rest + head)

    async def work(self, reader, writer, method, target, fields, body):
        identity, key = fields.get("request-id"), target.rsplit("/", 1)[1]
        self.world.note_arrival(identity, key, self.used[writer])
        kind = "safe" if method == "GET" else "unsafe"
        if self.random.random() < REFUSED_SHARE[kind]:
            self.refuse(writer, identity)
            return True
        run = stand_ins.Run(key, self.identity, method, target, body)
        self.runs.append(run)
        connection = self.used[writer]
        connection.identity, connection.key = identity, key
        try:
            if not await self.works(reader, writer):
                return False
            run.status = 200
        finally:
            connection.identity = connection.key = None
            run.ended = time.monotonic()
        own = {"Request_Id": identity} if identity else {}
        self.send(writer, stand_ins.reply(200, stand_ins.body_of(key),
                                          Server_Stamp=self.identity, **own))
        await writer.drain()
        return True

    async def works(self, reader, writer):
        """Works for a time; false if the connection has ended by then."""
        end = time.monotonic() + self.random.uniform(*WORK_S)
        while time.monotonic() < end:
            if reader.at_eof() or writer.is_closing():
                return False
            await asyncio.sleep(0.005)
        return True

    def refuse(self, writer, identity):
        status = self.random.choices(STATUSES, STATUS_WEIGHTS)[0]
        fields = {"Not_Run": "1"}
        own = {"Request_Id": identity} if identity else {}
        self.send(writer, stand_ins.reply(status, **fields, **own))
        for _ in range(2 if self.random.random() < TWO_COPIES else 1):
            changed = dict(fields)
            if self.random.random() >= NO_ID:
                changed.update(own)
            if self.random.random() < CLOSES:
                changed["Connection"] = "close"
            delay_s = self.random.triangular(0, COPY_DELAY_S, COPY_DELAY_S)
            pieces = self.random.random() < TWO_PIECES
            self.world.due[identity].append(time.monotonic() + delay_s)
            asyncio.get_running_loop().call_later(
                delay_s, self.write_copy, writer, identity,
                stand_ins.reply(status, **changed), pieces)

    def write_copy(self, writer, identity, copy, pieces):
        if writer.is_closing() or writer not in self.used:
            return
        connection = self.used[writer]
        self.world.copies += 1
        if identity and connection.identity == identity:
            self.world.met.append(connection.key)
        cut = self.random.randint(1, len(copy) - 1) if pieces else len(copy)
        self.send(writer, copy[:cut])
        connection.rest = copy[cut:]
        asyncio.get_running_loop().call_later(
            self.random.uniform(0.01, 0.1), self.write_rest, writer)

    def write_rest(self, writer):
        if writer in self.used and not writer.is_closing():
            self.send(writer, b"")


class World(world.World):
    def __init__(self, *args):
        super().__init__(*args)
        self.copies = 0
        # Attempts that a copy of their own refusal met.
        self.met = []
        # Connections that carried an id; when copies of its refusal are due.
        self.carried = collections.defaultdict(list)
        self.due = collections.defaultdict(list)
        # Requests that came back with their id: over the same connection, over
        # another, and before the last copy was due.
        self.same = self.other = self.back_in_time = 0

    def routes(self):
        return ROUTES

    async def add_upstream(self, service, role, identity=None):
        self.next_id += 1
        upstream = Upstream(self, "i-%04x" % self.next_id, service, role,
                            self.runs, self.arrivals)
        upstream.port = ports.free_ports(1)[0]
        await upstream.listen(upstream.port)
        self.upstreams[upstream.identity] = upstream
        self.all_upstreams.append(upstream)
        self.put_upstream(upstream)
        return upstream

    def note_arrival(self, identity, key, connection):
        if not identity:
            return
        earlier = self.carried[identity]
        if any(before != key for before, _ in earlier):
            same = any(used is connection for _, used in earlier)
            self.same += same
            self.other += not same
            self.back_in_time += max(self.due[identity],
                                     default=0) > time.monotonic()
        earlier.append((key, connection))


class Request(clients.Request):
    """One attempt; `key` is its own, `identity` may be the earlier one's."""

    sent = named = None

    def describe(self, runs):
        def rel(at):
            return "-" if at is None else "%.3f" % (at - self.began)
        ran = " ".join("%s %s..%s" % (run.upstream, rel(run.began),
                                      rel(run.ended)) for run in runs)
        return "%s attempt %s id %s at %s: end %s status %s run [%s]" % (
            self.kind, self.key, self.identity or "none",
            self.gateway and self.gateway.name, rel(self.ended), self.status,
            ran)


class Clients(clients.Clients):
    """Clients that come back after a promise, safe ones after any failure."""

    def new_id(self):
        return "%016x" % self.random.getrandbits(64)

    async def session(self):
        kind = "safe" if self.random.random() < SAFE_SHARE else "unsafe"
        identity = ("" if self.random.random() < WITHOUT_ID
                    else self.new_id())
        end = time.monotonic() + DEADLINE_S
        port = None
        for _ in range(MAX_ATTEMPTS):
            left_s = end - time.monotonic()
            if left_s < 0.2:
                return
            request = await self.attempt_once(kind, identity, left_s, port)
            promised = request.complete and request.status in checks.PROMISES
            if request.status == 200 or not (
                    promised or kind == "safe" or request.sent is None):
                return
            wait_s = self.random.uniform(*WAIT_S)
            if self.random.random() < WAITS_SHARE:
                wait_s = max(wait_s, min(request.refused_for_s or 0,
                                         (end - time.monotonic()) / 3))
            await asyncio.sleep(wait_s)
            port = None
            if request.sent and self.random.random() < SAME_ADDRESS_SHARE:
                port = request.gateway.front
            if identity and self.random.random() < NEW_ID:
                identity = self.new_id()

    async def attempt_once(self, kind, identity, left_s, port):
        self.count += 1
        key, route = "k%06d" % self.count, ROUTES[kind]
        method = "GET" if kind == "safe" else "POST"
        request = Request(identity, kind, method, route["prefix"] + key,
                          b"" if kind == "safe" else b"body of " + key.encode())
        request.key = key
        self.requests[key] = request
        try:
            port = port or await self.choose()
            if port is not None:
                await asyncio.wait_for(self.exchange(
                    request, port, min(left_s, route["timeout_ms"] / 1000)),
                    left_s + LOST_AFTER_S)
        except (OSError, http1.Cut, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            pass
        request.ended = time.monotonic()
        return request

    async def exchange(self, request, port, left_s):
        reader, writer, port = await self.connect(port)
        request.gateway = next(gateway for gateway in self.world.gateways
                               if gateway.front == port)
        fields = {"Host": world.HOST, "Deadline-Ms": str(int(left_s * 1000))}
        if request.identity:
            fields["Request-Id"] = request.identity
        try:
            request.sent = time.monotonic()
            writer.write(http1.message(
                "%s %s HTTP/1.1" % (request.method, request.target), fields,
                request.body))
            first, answer = await http1.read_head(reader)
            request.status = int(first.split(" ")[1])
            request.signer = answer.get("server-stamp")
            request.named = answer.get("request-id")
            if "retry-after" in answer:
                request.refused_for_s = float(answer["retry-after"])
            request.answer = await http1.read_body(reader, answer)
            request.complete = True
        finally:
            request.at_leaving = request.gateway.expected_end
            writer.transport.abort()


def judge(deployment, requests):
    """The attempts that broke a rule, by its name; 502 and 504 beside them."""
    found = collections.defaultdict(list)
    by_key, by_id = (collections.defaultdict(list) for _ in range(2))
    for run in deployment.runs:
        by_key[run.request].append(run)
        by_id[requests[run.request].identity].append(run)
    for key, request in requests.items():
        for name in judge_one(request, by_key[key], by_id[request.identity]):
            found[name].append(request)
    return found, by_key


def judge_one(request, runs, runs_of_id):
    once = request.kind == "unsafe"
    # Its client comes back only after a promise: no attempt of the id has run.
    again = request.identity and len(runs_of_id) > 1 and \
        runs_of_id[0].request != request.key and runs
    if once and (len(runs) > 1 or again):
        yield "TWICE"
    if once and runs and request.status in checks.PROMISES:
        yield "REFUSED"
    if any((run.method, run.target, run.body) != (
            request.method, request.target, request.body) for run in runs):
        yield "UNASKED"
    if request.sent is None:
        yield "not sent"
    elif not request.complete:
        crossed = request.at_leaving and not runs and \
            request.ended < request.sent + checks.LOSS_SLACK_S
        yield "crossed" if crossed else "LOST"
    elif request.status == 200:
        if request.answer != stand_ins.body_of(request.key) or \
                request.signer not in [run.upstream for run in runs]:
            yield "MIXED"
    elif request.signer or request.named not in (None, request.identity):
        yield "MIXED"
    elif request.status in checks.PROMISES:
        yield "refused"
    else:
        yield str(request.status)
