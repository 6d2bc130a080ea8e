"""Stand-ins of the platform: its store and its upstreams.

They speak the published protocol and keep what they saw, from which the soak
judges the gateways.
"""

import asyncio
import base64
import json
import re
import random
import time
from urllib.parse import parse_qs, urlsplit

from . import http1
from .copies import Copies

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed",
           421: "Misdirected", 500: "Error", 503: "Unavailable"}


def reply(status, body=b"", **fields):
    fields = {name.replace("_", "-"): value for name, value in fields.items()}
    first = "HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))
    return http1.message(first, fields, body)


class Server:
    """A listener whose connections can be cut."""

    backlog = 100

    def __init__(self):
        self.connections = set()
        self.listener = None

    async def listen(self, port):
        self.listener = await asyncio.start_server(
            self._serve, "127.0.0.1", port, backlog=self.backlog)

    def close(self):
        if self.listener:
            self.listener.close()
            self.listener = None
        self.cut()

    def cut(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.exchange(reader, writer):
                pass
        except (http1.Cut, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Store(Server):
    """Rows with versions; `trouble` is one of the names in `troubles`."""

    troubles = ["down", "silent", "slow", "lost", "busy", "compacted"]

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.changes = []
        self.version = 1
        self.oldest = 0
        self.trouble = None
        self.era = 1
        self.changed = asyncio.Event()

    def copy(self):
        rows = {table: dict(rows) for table, rows in self.rows.items()}
        return rows, self.version

    def restore(self, copy):
        """Comes back from a copy: later writes are lost, versions go back."""
        self.rows, self.version = copy
        self.changes = []
        self.oldest = self.version
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes as the platform does; returns when it was acknowledged."""
        self._set(table, key, json.dumps(value).encode())
        return time.monotonic()

    def remove(self, table, key):
        if key in self.rows.get(table, {}):
            self._set(table, key, None)

    def _set(self, table, key, value):
        self.version += 1
        if value is None:
            del self.rows[table][key]
        else:
            self.rows.setdefault(table, {})[key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def exchange(self, reader, writer):
        first, fields = await http1.read_head(reader)
        body = await http1.read_body(reader, fields)
        method, target, _ = first.split(" ")
        trouble = self.trouble
        if trouble == "down":
            return False
        if trouble == "silent":
            await asyncio.sleep(60)
            return False
        if trouble == "slow":
            await asyncio.sleep(0.4)
        if trouble == "busy":
            writer.write(reply(503))
            return True
        answer = await self.answer(method, urlsplit(target), body)
        if trouble == "lost":
            return False
        writer.write(answer)
        await writer.drain()
        return True

    async def answer(self, method, url, body):
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            rows = self.rows.get(query["table"], {})
            found = [self._row(query["table"], key, *rows[key])
                     for key in sorted(rows) if key >= query.get("from", "")]
            return self._answer(found)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return reply(404)

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self.oldest or after > self.version:
                return reply(410, Store_Era=str(self.era))
            news = {}
            for version, table, key, value in self.changes:
                if version > after and table == query["table"]:
                    news[key] = self._row(table, key, value, version)
            left = end - time.monotonic()
            if news or left <= 0:
                return self._answer(sorted(news.values(),
                                           key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for expected in body.get("expected", []):
            rows = self.rows.get(expected["table"], {})
            version = rows.get(expected["key"], (None, 0))[1]
            if version != expected["ver"]:
                return reply(412, json.dumps({"rows": []}).encode(),
                             Store_Era=str(self.era))
        for row in body.get("set_keys", []):
            self._set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("delete", []):
            self.remove(row["table"], row["key"])
        return self._answer([])

    def compact(self):
        """Forgets the history."""
        self.oldest = self.version + 1
        self.changes = []
        self.version += 1

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _answer(self, rows):
        body = {"rows": rows, "truncated": False, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000)}
        return reply(200, json.dumps(body).encode(),
                     Content_Type="application/json",
                     Store_Era=str(self.era))


class Run:
    """One request that an upstream began to work on."""

    def __init__(self, request, upstream, method, target, body):
        self.request, self.upstream = request, upstream
        self.method, self.target, self.body = method, target, body
        self.began = time.monotonic()
        self.ended = None
        self.status = None


class Upstream(Server):
    """A plain service's worker or an engine.

    `trouble`: mute (no answers), grey (500), slow, lost (runs, then cuts),
    cut (cuts within a stream's event), extra (bytes after an answer), full
    (refuses everything), unsigned (a success that bears no signature), other
    (the answer of another request comes first), pause (refuses and asks for no
    requests for a time), endless (bytes that are no answer, without end), again
    (a plain answer comes twice, the second time late).

    It refuses the share `twice` of the requests besides; each refusal then
    bears its request's id and comes once more, later.  None: none does.
    """

    troubles = ["mute", "grey", "slow", "lost", "cut", "extra", "full",
                "unsigned", "other"]
    later_troubles = ["pause", "endless"]
    long_troubles = ["again", "cut"]
    # Time without requests that a paused upstream asks for.
    PAUSE_S = 1.5

    def __init__(self, identity, service, role, runs, arrivals):
        super().__init__()
        self.identity, self.service, self.role = identity, service, role
        self.runs, self.arrivals = runs, arrivals
        self.trouble = None
        self.twice = None
        # What `Copies` saw, and those of each connection.
        self.refusals, self.copies = [], {}
        self.slots = 32 if role else 6
        # Version of the software; only streams show it.
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.leaving = False
        # When the first answer said that this upstream leaves.
        self.said_leaving = None
        self.pauses = []
        # Requests a second that the answers name as the limit, and since when.
        self.limit = None
        self.limit_named_at = None
        # Called for a request that ends the process; None if none does.
        self.on_lethal = None
        self.busy = 0
        self.handles = set()
        # Cleared while the process stands still: its connections are open, and
        # it neither reads nor writes nor works.
        self.awake = asyncio.Event()
        self.awake.set()
        # Spans in which the process has stood still.
        self.still_spans = []

    async def stand_still(self, for_s):
        """Does nothing for that time; once at a time."""
        if not self.awake.is_set():
            return
        began = time.monotonic()
        self.hold()
        await asyncio.sleep(for_s)
        self.go_on()
        self.still_spans.append((began, time.monotonic()))

    def hold(self):
        self.awake.clear()

    def go_on(self):
        self.awake.set()

    async def gone(self):
        """Waits until nothing is left of it, once it is closed."""

    def stood_still(self, since, to):
        return any(a < to and since < b for a, b in self.still_spans)

    async def ended_within(self, gone, for_s):
        """Works for that time; true if the connection has ended by then."""
        await asyncio.wait([gone], timeout=for_s)
        # The end of a connection is not seen while the process stands still.
        await self.awake.wait()
        return gone.done()

    def send(self, writer, head):
        """Writes an answer, or its head."""
        if self.leaving:
            self.said_leaving = self.said_leaving or time.monotonic()
            head = head.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
        if self.limit is not None:
            self.limit_named_at = self.limit_named_at or time.monotonic()
            name = b"\r\nServer-Limit: %.2f\r\n" % self.limit
            head = head.replace(b"\r\n", name, 1)
        self.copies[writer].answering = True
        writer.write(head)

    async def _serve(self, reader, writer):
        self.copies[writer] = Copies(writer, self.refusals)
        await super()._serve(reader, writer)
        del self.copies[writer]

    def refuse(self, writer, request, status=503, **more):
        """Says that a request has not run, and later perhaps again."""
        if self.twice is None or request is None:
            self.send(writer, reply(status, Not_Run="1", **more))
            return
        refusal = reply(status, Not_Run="1", Request_Id=request, **more)
        self.send(writer, refusal)
        self.copies[writer].add(request, refusal)

    def note_return(self, writer, request):
        for copies in self.copies.values():
            if copies.awaits(request):
                self.copies[writer].note("awaited", request)
                return

    async def send_without_end(self, writer):
        try:
            while self.trouble == "endless":
                writer.write(b"x" * 65536)
                await writer.drain()
        except ConnectionError:
            pass

    async def exchange(self, reader, writer):
        first, fields = await http1.read_head(reader)
        body = await http1.read_body(reader, fields)
        await self.awake.wait()
        copies = self.copies[writer]
        self.note_return(writer, fields.get("request-id"))
        copies.request = fields.get("request-id")
        goes_on = await self.answer(reader, writer, first, fields, body)
        if goes_on:
            copies.answered()
        return goes_on

    async def answer(self, reader, writer, first, fields, body):
        method, target, _ = first.split(" ")
        self.arrivals.append((time.monotonic(), self.identity,
                              fields.get("request-id")))
        expected = fields.get("expect-instance")
        if expected and expected != self.identity:
            self.send(writer, reply(421, Instance_Id=self.identity))
            return True
        if target == "/healthz":
            self.send(writer, reply(200, Instance_Id=self.identity))
            return True
        if method == "DELETE" or target == "/report":
            self.send(writer, reply(200, b"{}"))
            return True
        if self.trouble == "mute":
            await reader.read(1)
            return False
        if self.trouble == "pause":
            self.pauses.append(time.monotonic())
            self.refuse(writer, fields.get("request-id"),
                        Retry_After=str(self.PAUSE_S))
            return True
        if self.busy >= self.slots or self.trouble == "full":
            self.refuse(writer, fields.get("request-id"))
            return True
        if self.twice and random.random() < self.twice:
            self.refuse(writer, fields.get("request-id"),
                        random.choice([503, 503, 503, 429]))
            return True
        self.copies[writer].work_begins()
        self.busy += 1
        try:
            return await self.work(reader, writer, method, target, fields,
                                   body)
        finally:
            self.busy -= 1

    async def work(self, reader, writer, method, target, fields, body):
        identity = fields["request-id"]
        if fields.get("stage") == "prefill":
            await asyncio.sleep(0.01)
            await self.awake.wait()
            handle = "h%x" % (len(self.handles) + 1)
            self.handles.add(handle)
            answer = {"handle": handle, "tokens": 1, "version": 1}
            self.send(writer, reply(200, json.dumps(answer).encode(),
                               Request_Id=identity))
            return True
        run = Run(identity, self.identity, method, target, body)
        self.runs.append(run)
        # The connection's end frees the worker.
        gone = asyncio.ensure_future(reader.read(1))
        try:
            return await self.run(run, writer, fields, gone)
        finally:
            run.ended = time.monotonic()
            gone.cancel()

    async def run(self, run, writer, fields, gone):
        if self.on_lethal and run.target.endswith(LETHAL):
            await asyncio.sleep(0.03)
            self.on_lethal(self)
            return False
        pace = 8 if self.trouble == "slow" else 1
        work_s = 0.02 * pace
        if await self.ended_within(gone, work_s):
            return False
        if self.trouble == "lost":
            return False
        if self.trouble == "endless":
            head = b"HTTP/1.1 200 OK\r\n"
            if fields.get("request-id", "0")[-1] in "01234567":
                head += b"Connection: close\r\n\r\n"
            self.send(writer, head)
            await self.send_without_end(writer)
            return False
        if self.trouble == "grey":
            run.status = 500
            self.send(writer, reply(500, b"failed", Request_Id=run.request,
                               Server_Stamp=self.identity))
            return await self.settle(gone, writer)
        if self.trouble == "unsigned":
            self.send(writer, reply(200, b"not the answer", Request_Id=run.request))
            return await self.settle(gone, writer)
        run.status = 200
        if self.trouble == "other":
            self.send(writer, reply(200, b"another's", Request_Id="0" * 16,
                               Server_Stamp=self.identity))
        if run.target.startswith(LONG):
            return await self.send_long(run, writer, gone, pace)
        if "token-count" not in fields:
            answer = reply(200, body_of(run.request), Request_Id=run.request,
                           Server_Stamp=self.identity)
            self.send(writer, answer + (b"junk" if self.trouble == "extra" else b""))
            if self.trouble == "again":
                asyncio.get_running_loop().call_later(
                    AGAIN_S, self.write_late, writer, answer)
            return await self.settle(gone, writer)
        self.send(writer, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\n" +
                     ("Request-Id: %s\r\nServer-Stamp: %s\r\n\r\n" %
                      (run.request, self.identity)).encode())
        return await self.stream(run, writer, fields, gone, EVENT_PAUSE_S * pace)

    @staticmethod
    def write_late(writer, answer):
        if not writer.is_closing():
            writer.write(answer)

    async def send_long(self, run, writer, gone, pace):
        """A plain answer in parts; trouble `cut` breaks it off."""
        body = body_of(run.request, long=True)
        self.send(writer, (
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n" %
            (run.request, self.identity)).encode())
        part = len(body) // LONG_PARTS
        for at in range(0, len(body), part):
            if self.trouble == "cut" and at > len(body) / 2:
                return False
            writer.write(http1.chunk(body[at:at + part]))
            if await self.ended_within(gone, LONG_PAUSE_S * pace):
                return False
        writer.write(http1.chunk(b""))
        return await self.settle(gone, writer)

    async def stream(self, run, writer, fields, gone, pause_s):
        first = int(fields.get("last-event-id", 0)) + 1
        events = int(fields.get("stand-in-events", EVENTS))
        pause_s *= float(fields.get("stand-in-pace", 1))
        for event in range(first, events + 1):
            data = event_of(run.request, event, self.version)
            if self.trouble == "cut" and event > 1:
                writer.write(http1.chunk(data[:9]))
                await writer.drain()
                return False
            writer.write(http1.chunk(data))
            await writer.drain()
            if await self.ended_within(gone, pause_s):
                return False
        writer.write(http1.chunk(b""))
        return await self.settle(gone, writer)

    @staticmethod
    async def settle(gone, writer):
        """True if the connection can go on, without a byte read from it."""
        await writer.drain()
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            return True
        return False


# End of the target of requests that end their upstream.
LETHAL = "lethal"

# Events of a stream, and the time between them; requests may ask for another
# number (Stand-In-Events) and for a multiple of that time (Stand-In-Pace).
EVENTS = 8
EVENT_PAUSE_S = 0.12


# Beginnings of the targets with long answers; an answer has so many parts, with
# this time between them.
LONG, LONG_LINES, LONG_PARTS, LONG_PAUSE_S = ("/far/", "/buy/"), 30000, 12, 0.03
# An answer that comes twice comes so late.
AGAIN_S = 0.3


def body_of(request, long=False):
    """540 or 810,000 bytes."""
    return ("answer to %s\n" % request).encode() * (LONG_LINES if long else 20)


def event_of(request, event, version):
    return ("id: %d\ndata: %s %d %s\n\n" %
            (event, request, event, version)).encode()


def versions_of(events):
    """Software versions that wrote these bytes of a stream."""
    return set(re.findall(rb" (v\d+)\n\n", events))


class Link(Server):
    """Carries connections on to `port`; `trouble` harms `share` of them.

    A connection that lost bytes cannot go on: it is cut when the trouble ends.
    """

    troubles = ["delay", "reset", "one_way", "silence"]

    def __init__(self, port, share=1.0):
        super().__init__()
        self.port = port
        self.share = share
        self.trouble = None
        # Connections up to this number are silent for good.
        self.opened = self.silent = 0

    def silence_open_connections(self):
        self.silent = self.opened

    async def exchange(self, reader, writer):
        self.opened += 1
        number = self.opened
        harmed = random.random() < self.share
        if harmed and self.trouble == "reset":
            return False
        there_reader, there_writer = await asyncio.open_connection(
            "127.0.0.1", self.port)
        self.connections.add(there_writer)
        there = asyncio.ensure_future(
            self.carry(reader, there_writer, True, harmed, number))
        back = asyncio.ensure_future(
            self.carry(there_reader, writer, False, harmed, number))
        try:
            await asyncio.wait([there, back],
                               return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (there, back):
                task.cancel()
            self.connections.discard(there_writer)
            there_writer.close()
            if there.done() and not back.done():
                writer.transport.abort()
        writer.close()
        return False

    async def carry(self, reader, writer, forward, harmed, number):
        try:
            while True:
                data = await reader.read(65536)
                if data and number <= self.silent:
                    continue
                if not data:
                    await writer.drain()
                    return
                trouble = self.trouble if harmed else None
                if trouble == "reset":
                    writer.transport.abort()
                    return
                if trouble == "delay":
                    await asyncio.sleep(0.15)
                one_way = trouble == "one_way" and not forward
                if trouble == "silence" or one_way:
                    while self.trouble == trouble:
                        await asyncio.sleep(0.05)
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
