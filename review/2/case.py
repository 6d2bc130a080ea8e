"""A request is smuggled in the body of one that is refused as malformed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
from deployment import (CannotRun, HOST, TROUBLE, Worker, http1, main)  # noqa: E402

REQUESTS = 6
# Body of the smuggled request; the bodies of the sheet's requests have up to
# 55,000 bytes.
INNER_BODY = b"x" * 6000


async def read_all(reader, for_s):
    """What arrives within that time, and how the connection ended."""
    data = b""
    end = asyncio.get_running_loop().time() + for_s
    while True:
        left = end - asyncio.get_running_loop().time()
        try:
            more = await asyncio.wait_for(reader.read(65536), max(left, 0.01))
        except asyncio.TimeoutError:
            return data, "open"
        except OSError:
            return data, "reset"
        if not more:
            return data, "closed"
        data += more


async def play(deployment):
    async def answer(request):
        await asyncio.sleep(0.03)
        request.writer.write(request.reply(b"booked " + request.id.encode()))
        return True

    workers = [Worker(deployment, "i-%d" % n, "shop", 6, answer)
               for n in (1, 2, 3)]
    await deployment.start(workers)
    sent = set()
    for number in range(REQUESTS):
        outer, inner = ["%016x" % (base + number) for base in (0xb000, 0xc000)]
        smuggled = http1.message(
            "POST /book/slot HTTP/1.1",
            {"Host": HOST, "Request-Id": inner, "Deadline-Ms": "2500"},
            INNER_BODY)
        head = ("POST /book/slot HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                "Deadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n" %
                (HOST, outer)).encode()
        # The body is said to be in chunks, and is not.
        body = smuggled if TROUBLE else (
            http1.chunk(smuggled) + http1.chunk(b""))
        sent.add(outer)
        deployment.record("client", "sends POST /book/slot id=%s, whose body "
                          "holds the text of a request with id=%s%s" %
                          (outer, inner, "" if TROUBLE else ", in chunks"))
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", deployment.gateways[0].front)
        writer.write(head + body)
        data, state = await read_all(reader, 0.6)
        deployment.record("client", "gets %r, connection %s" % (data, state))
        writer.transport.abort()
    ran = [run.id for worker in workers for run in worker.runs]
    if not TROUBLE and sorted(ran) != sorted(sent):
        raise CannotRun("requests failed without the disruption")
    unasked = [run for run in ran if run not in sent]
    return unasked and "%d of %d smuggled requests were run" % (
        len(unasked), REQUESTS)


main(os.path.dirname(os.path.abspath(__file__)), play)
