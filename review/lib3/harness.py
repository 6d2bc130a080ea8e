"""Stand-ins of the users' platform and gateways as processes, for the cases.

Everything listens on loopback addresses of this run only.  The store, the
workers and the clients live in the process of the script; the gateways are
processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
START_LIMIT_S = 10
HOST = "case.example"
# As a small deployment's settings have them.
CONTACT_S, DRAIN_S, GRACE_S = 3.0, 2.0, 8.0


class Cut(Exception):
    """The connection ended before the message did."""


async def read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise Cut()
    return line.decode("latin-1").rstrip("\r\n")


async def read_head(reader):
    """First line and fields, names in lower case."""
    first = await read_line(reader)
    fields = {}
    while True:
        line = await read_line(reader)
        if not line:
            return first, fields
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()


async def read_exactly(reader, size):
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        raise Cut() from error


async def read_chunk(reader):
    size = int((await read_line(reader)).split(";")[0], 16)
    data = await read_exactly(reader, size)
    await read_line(reader)
    return data


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await read_exactly(reader, int(fields.get("content-length", 0)))


def message(first, fields, body=b"", framed=True):
    lines = [first] + ["%s: %s" % item for item in fields.items()]
    if framed:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reply(status, fields=None, body=b""):
    return message("HTTP/1.1 %d Status" % status, fields or {}, body)


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Server:
    """A listener that can be closed together with its connections."""

    def __init__(self):
        self.listener = None
        self.writers = set()

    async def listen(self, ip, port):
        self.listener = await asyncio.start_server(
            self._serve, ip, port, reuse_address=True)

    def close(self):
        """What the kernel does when a process is killed."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.exchange(reader, writer):
                pass
        except (Cut, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def exchange(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self):
        super().__init__()
        self.rows, self.changes = {}, []
        self.version, self.era = 1, 1
        self.silent = False
        self.changed = asyncio.Event()

    def set(self, table, key, value):
        self.version += 1
        rows = self.rows.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.version)
        self.changes.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.set(table, key, json.dumps(value).encode())

    def go_silent(self):
        """Accepts calls and answers none; open ones get no answer either."""
        self.silent = True

    def come_back(self):
        """Calls of the outage are lost; their connections end."""
        self.silent = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def exchange(self, reader, writer):
        first, fields = await read_head(reader)
        body = await read_body(reader, fields)
        _, target, _ = first.split(" ")
        answer = None
        if not self.silent:
            answer = await self.answer(urlsplit(target), body)
        while self.silent or answer is None:
            await asyncio.sleep(0.05)
        writer.write(answer)
        await writer.drain()
        return True

    async def answer(self, url, body):
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/rows-get":
            rows = self.rows.get(query["table"], {})
            return self.result([
                self.row(query["table"], key, *rows[key])
                for key in sorted(rows) if key >= query.get("from", "")])
        if url.path == "/rows-feed":
            return await self.feed(query)
        return reply(404)

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            news = {key: self.row(table, key, value, version)
                    for version, changed, key, value in self.changes
                    if version > after and changed == table}
            left = end - time.monotonic()
            if news or left <= 0:
                return self.result(sorted(news.values(),
                                          key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("expected", []):
            _, version = self.rows.get(row["table"], {}).get(row["key"],
                                                             (None, 0))
            if version != row["ver"]:
                return reply(412, {"Store-Era": self.era}, b'{"rows":[]}')
        for row in body.get("set_keys", []):
            if row["table"] in ("op", "servers"):
                return reply(403, {"Store-Era": self.era})
            self.set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("delete", []):
            self.set(row["table"], row["key"], None)
        return self.result([])

    @staticmethod
    def row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def result(self, rows):
        body = {"rows": rows, "truncated": False, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000)}
        return reply(200, {"Content-Type": "application/json",
                           "Store-Era": self.era}, json.dumps(body).encode())


class Case:
    """One run of a case: addresses, gateways, record and verdict."""

    def __init__(self, directory, gateways=2):
        self.folder = directory
        self.began = time.monotonic()
        self.record_file = open(os.path.join(directory, "record.txt"), "w")
        self.random = random.Random()
        self.temporary = tempfile.mkdtemp(prefix="case-")
        self.net = self.free_net()
        self.store = Store()
        self.gateways = [Gateway(self, number + 1)
                         for number in range(gateways)]
        self.tasks = set()
        self.config_version = 3

    def free_net(self):
        """A block of loopback addresses that nothing listens on."""
        for _ in range(50):
            net = "127.%d.%d" % (self.random.randint(20, 250),
                                 self.random.randint(1, 250))
            try:
                for port in (8140, 8142, 8143, 8144, 7660, 7661, 9464):
                    with socket.socket() as probe:
                        probe.bind((net + ".1", port))
                return net
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    def note(self, what, *about):
        now = time.monotonic() - self.began
        print("%8.3f %s %s" % (now, what, " ".join(map(str, about))),
              file=self.record_file, flush=True)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, routes, services):
        await self.store.listen(self.net + ".200", 8142)
        self.store.put("op", "config", {
            "version": self.config_version, "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        for gateway in self.gateways:
            gateway.start(bootstrap=True)

    async def until_ready(self):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            answers = [await gateway.is_ready() for gateway in self.gateways]
            if all(answers):
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways did not get ready")

    def end(self):
        for gateway in self.gateways:
            gateway.kill()
        self.record_file.close()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.temporary, logs, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


class Gateway:
    """One process of the system, with the settings of its machine."""

    def __init__(self, case, number):
        self.case, self.number = case, number
        self.ip = "%s.%d" % (case.net, number)
        self.name = "front-zone-%s-%d" % ("abc"[(number - 1) % 3],
                                       (number - 1) // 3 + 1)
        self.zone = "zone-%s" % "abc"[(number - 1) % 3]
        self.front = (self.ip, 8144)
        self.process = None

    def fields(self, bootstrap):
        return {
            "node_name": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": self.ip + ":8144", "ready": self.ip + ":8140",
                       "directory": self.ip + ":8143"},
            "port_range": [7660, 7675],
            "provider": {"addr": self.case.net + ".200:8142"},
            "limits": {"max_fds": 4096, "ram_mb": 390},
            "bootstrap": bootstrap,
            "bounds": {"grace_s": 8, "ttl_max_s": 5, "lease_ms": 3000,
                       "retry_ratio": 0.2, "retry_slack": 58,
                       "retry_window_s": 10}}

    def settings(self, bootstrap):
        """The project's template, filled in as the platform does."""
        with open(os.path.join(ROOT, "platform",
                               "settings.json.template")) as f:
            template = f.read()

        def fill(match):
            name, _, form = match.group(1).partition("|")
            value = self.fields(bootstrap)
            for part in name.split("."):
                value = value[int(part)] if part.isdigit() else value[part]
            return json.dumps(value) if form == "json" else str(value)
        return re.sub(r"\{\{([^{}]+)\}\}", fill, template)

    def start(self, bootstrap=False):
        path = os.path.join(self.case.temporary, self.name + ".json")
        with open(path, "w") as f:
            f.write(self.settings(bootstrap))
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CORIANDERLINK_SETTINGS"] = path
        program = os.environ.get("GATEWAY", "target/corianderlink-gateway")
        with open(path[:-5] + ".log", "ab") as log:
            self.process = subprocess.Popen(
                [program], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.case.note("start", self.name)

    def signal(self, number):
        self.case.note("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8140)
            writer.write(message("GET /readyz HTTP/1.1", {"Host": HOST}))
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, Cut, asyncio.TimeoutError):
            return False


def run(directory, play):
    """Plays the case and exits with its verdict."""
    case = None
    verdict = CANNOT_RUN
    # The gateways end with the script also if it is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))

    async def main():
        nonlocal case, verdict
        case = Case(directory, getattr(play, "gateways", 2))
        try:
            verdict = await asyncio.wait_for(play(case), 115)
        finally:
            # Connections that are open now have no one to tell of their end.
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: None)
            for task in list(case.tasks):
                task.cancel()
            case.note("verdict", {BROKEN: "broken", HELD: "held"}.get(
                verdict, "could not run"))
            case.end()
    try:
        asyncio.run(main())
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        print("could not run:", error, file=sys.stderr)
        verdict = CANNOT_RUN
    sys.exit(verdict)
