"""Upstreams as processes of their own, which SIGSTOP stops as machines do.

The kernel of a stopped one goes on accepting connections, up to a short backlog,
and bytes.  `python3 -m soak_lib.processes IDENTITY SERVICE ROLE PORT` is such a
process; both sides write lines of JSON to each other.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time

from . import stand_ins

UTILS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


class Shared(stand_ins.Upstream):
    """Tells the other side of each change to the attributes in `told`."""

    told = ()

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if name in self.told:
            self.tell("set", name, value)

    def told_of(self, name, value):
        object.__setattr__(self, name, value)


class StoppableUpstream(Shared):
    """The soak's side."""

    told = ("trouble", "leaving", "limit", "limit_named_at", "version",
            "slots", "twice")

    def __init__(self, *args):
        self.process = None
        self.closed = False
        self.open_runs = {}
        super().__init__(*args)

    async def listen(self, port):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak_lib.processes", self.identity,
            self.service, self.role or "", str(port), cwd=UTILS,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        await self.process.stdout.readline()
        for name in self.told:
            self.tell("set", name, getattr(self, name))
        self.reading = asyncio.ensure_future(self.read())

    def tell(self, *what):
        if self.process and not self.closed:
            self.process.stdin.write(json.dumps(what).encode() + b"\n")

    async def read(self):
        async for line in self.process.stdout:
            self.heard(*json.loads(line))
        for run in self.open_runs.values():
            run.ended = time.monotonic()
        # The process ended under a request.
        if not self.closed and self.on_lethal:
            self.on_lethal(self)

    def heard(self, what, *about):
        if what == "set":
            self.told_of(*about)
        elif what == "pauses":
            self.pauses.append(*about)
        elif what in ("arrivals", "refusals"):
            getattr(self, what).append(tuple(*about))
        elif what == "run":
            number, began, request, method, target, body = about
            run = stand_ins.Run(request, self.identity, method, target,
                                body.encode("latin-1"))
            run.began = began
            self.open_runs[number] = run
            self.runs.append(run)
        elif what == "ended":
            number, at, status = about
            run = self.open_runs.pop(number)
            run.ended, run.status = at, status
        elif what == "status":
            number, status = about
            self.open_runs[number].status = status

    def signal(self, number):
        # send_signal() would wait for the process, which the loop does.
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def hold(self):
        super().hold()
        self.signal(signal.SIGSTOP)

    def go_on(self):
        self.signal(signal.SIGCONT)
        super().go_on()

    def close(self):
        self.closed = True
        self.signal(signal.SIGKILL)

    async def gone(self):
        await self.process.wait()


class Told:
    """A list of which the soak hears."""

    def __init__(self, upstream, name):
        self.upstream, self.name = upstream, name

    def append(self, item):
        self.upstream.tell(self.name, item)


class ToldRun(stand_ins.Run):
    """The soak hears of a status before a byte of the answer is sent."""

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if name == "status" and value is not None:
            self.upstream_process.tell("status", self.number, value)


class OwnProcess(Shared):
    """The upstream's side; a run is written down before it begins."""

    told = ("said_leaving", "limit_named_at")
    backlog = 4

    def __init__(self, identity, service, role):
        super().__init__(identity, service, role, [], Told(self, "arrivals"))
        self.pauses = Told(self, "pauses")
        self.refusals = Told(self, "refusals")
        self.on_lethal = lambda _: os._exit(1)
        self.count = 0

    def tell(self, *what):
        os.write(1, json.dumps(what).encode() + b"\n")

    async def run(self, run, writer, fields, gone):
        self.count += 1
        run.number, run.upstream_process = self.count, self
        run.__class__ = ToldRun
        self.tell("run", run.number, run.began, run.request, run.method,
                  run.target, run.body.decode("latin-1"))
        self.runs.clear()
        try:
            return await super().run(run, writer, fields, gone)
        finally:
            self.tell("ended", run.number, time.monotonic(), run.status)


async def serve(identity, service, role, port):
    upstream = OwnProcess(identity, service, role or None)
    await upstream.listen(int(port))
    upstream.tell("listening")
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async for line in reader:
        upstream.told_of(*json.loads(line)[1:])
    # The soak has ended.
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(serve(*sys.argv[1:]))
