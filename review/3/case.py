"""A worker sends bytes that are no answer, without end, within a body."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
from deployment import CannotRun, HOST, TROUBLE, Worker, http1, main  # noqa: E402

# The limit of the smallest machine of the site (limits.ram_mb), beyond which
# the platform kills a process, and the time until it starts it again.
RAM_MB = 390
RESTART_S = 0.5
# The faulty worker sends at less than the smallest machine's link carries
# (1,500 Mbit/s).
ENDLESS_MB_PER_S = 100
PLAY_S = 40
CLIENTS_PER_GATEWAY = 6
EVENTS, PAUSE_S = 10, 0.12


async def play(deployment):
    async def stream(request):
        request.writer.write(request.head(
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"))
        for event in range(1, EVENTS + 1):
            request.writer.write(http1.chunk(
                b"id: %d\ndata: %s\n\n" % (event, request.id.encode())))
            await asyncio.sleep(PAUSE_S)
        request.writer.write(http1.chunk(b""))
        await request.writer.drain()
        return True

    async def endless(request):
        """After the last chunk come fields that do not end."""
        request.writer.write(request.head(
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"))
        request.writer.write(b"0\r\n")
        block = (b"X-Trace: " + b"j" * 4085 + b"\r\n") * 16
        sent, began = 0, time.monotonic()
        deployment.record(request.worker.identity,
                          "sends bytes without end: id=%s" % request.id)
        try:
            while True:
                request.writer.write(block)
                await request.writer.drain()
                sent += len(block)
                early = sent / (ENDLESS_MB_PER_S * 1e6) - (
                    time.monotonic() - began)
                if early > 0:
                    await asyncio.sleep(early)
                elif request.reader.at_eof():
                    break
        except OSError:
            pass
        deployment.record(request.worker.identity, "sent %.0f MB in %.1f s, "
                          "until the caller closed: id=%s" %
                          (sent / 1e6, time.monotonic() - began, request.id))
        return False

    endless_runs = []

    async def answer(request):
        # The disruption: an eighth of the workers, its answers to one request
        # in each start of a gateway.
        if TROUBLE and request.target.endswith("/look"):
            endless_runs.append(request)
            return await endless(request)
        return await stream(request)

    workers = [Worker(deployment, "i-%d" % n, "model", 32, answer, "decode")
               for n in range(1, 9)]
    await deployment.start(workers, gateways=2)
    counts = {"answered": 0, "refused": 0, "lost": 0}
    own_ends = {gateway.name: 0 for gateway in deployment.gateways}
    end_at = time.monotonic() + PLAY_S
    number = 0

    def next_id():
        nonlocal number
        number += 1
        return "%016x" % (0xe0000 + number)

    async def send(writer, path):
        request = next_id()
        writer.write(http1.message(
            "POST /chat/%s HTTP/1.1" % path,
            {"Host": HOST, "Request-Id": request, "Deadline-Ms": "15000",
             "Model": "m", "Token-Count": "220,90",
             "Prompt-Prefix": "5c1e07a2:79,%s:141" % request[-8:]}, b"q" * 220))
        deployment.record("client", "sends POST /chat/%s id=%s" %
                          (path, request))
        return request

    async def client(gateway):
        """Sends requests, one after another, on a connection that it keeps."""
        kept, reader, writer = False, None, None
        while time.monotonic() < end_at:
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", gateway.front)
                    kept = False
            except OSError:
                await asyncio.sleep(0.2)
                continue
            request = await send(writer, "ask")
            try:
                first, fields = await asyncio.wait_for(
                    http1.read_head(reader), 16)
                await asyncio.wait_for(http1.read_body(reader, fields), 16)
                ok = first.split(" ")[1] == "200"
                counts["answered" if ok else "refused"] += 1
                deployment.record("client", "id=%s gets %s" % (request, first))
                kept = fields.get("connection") != "close"
                if not kept:
                    writer.transport.abort()
                    writer = None
                await asyncio.sleep(0.02 if ok else 0.3)
            except (http1.Cut, OSError, asyncio.TimeoutError) as error:
                faulty = {run.worker for run in endless_runs}
                ran = any(run.id == request for worker in workers
                          if worker not in faulty for run in worker.runs)
                lost = kept and ran
                counts["lost" if lost else "refused"] += 1
                deployment.record(
                    "client", "id=%s: connection ends without a complete "
                    "answer (%r), kept connection: %s, run by a sound worker: "
                    "%s" % (request, error, kept, ran))
                writer.transport.abort()
                writer = None
        if writer:
            writer.transport.abort()

    async def asker(gateway):
        """The request whose answer does not end, once after each start."""
        starts = -1
        while time.monotonic() < end_at - 5:
            if own_ends[gateway.name] == starts or own_ends[
                    gateway.name] >= 3 or not gateway.running():
                await asyncio.sleep(0.1)
                continue
            starts = own_ends[gateway.name]
            await asyncio.sleep(2)
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.front)
                request = await send(writer, "look")
                data = await asyncio.wait_for(reader.read(1 << 16), 16)
                deployment.record("client", "id=%s gets %r" %
                                  (request, data[:60]))
                writer.transport.abort()
            except (OSError, asyncio.TimeoutError) as error:
                deployment.record("client", "%r" % error)

    async def platform(gateway):
        """Kills a process beyond its memory limit and starts it again."""
        peak = 0
        while time.monotonic() < end_at:
            mb = gateway.resident_mb()
            if mb > peak + 50:
                peak = mb
                deployment.record(gateway.name, "resident: %.0f MB" % mb)
            if mb > RAM_MB:
                deployment.record("platform", "%s exceeds its %d MB" %
                                  (gateway.name, RAM_MB))
                gateway.signal(signal.SIGKILL)
                await gateway.process.wait()
                own_ends[gateway.name] += 1
            if not gateway.running():
                await asyncio.sleep(RESTART_S)
                await gateway.start()
                peak = 0
            await asyncio.sleep(0.02)

    tasks = []
    for gateway in deployment.gateways:
        tasks.append(platform(gateway))
        tasks.append(asker(gateway))
        tasks += [client(gateway) for _ in range(CLIENTS_PER_GATEWAY)]
    await asyncio.gather(*tasks)
    deployment.record("case", "%s, own ends %s" % (counts, own_ends))
    if counts["answered"] < 50:
        raise CannotRun("hardly any request was answered: %s" % counts)
    if not TROUBLE and (counts["lost"] or counts["refused"]):
        raise CannotRun("requests failed without the disruption")
    return counts["lost"] > 3 and (
        "%d requests on kept connections were passed on to sound workers and "
        "got no answer; own ends by memory: %s" % (counts["lost"], own_ends))


main(os.path.dirname(os.path.abspath(__file__)), play)
