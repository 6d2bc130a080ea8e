"""Requests inside requests whose framing is not valid; see claim.txt."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from fleet import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
# Fields after which the length of a request is not known: the final transfer
# coding is not chunked.
FRAMINGS = [
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n",
]


async def send(fleet, gateway, number, framing):
    """Sends a request whose body has the bytes of another one."""
    outer = "outer-%d-%s" % (number, new_id())
    inner = "inner-%d-%s" % (number, new_id())
    body = ("POST /pay/inner HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
            "Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n" % (HOST, inner))
    if TROUBLE:
        if "Content-Length" in framing:
            body = "0\r\n\r\n" + body
    else:
        framing = "Transfer-Encoding: chunked\r\n"
        body = "%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    fleet.record("client sends %s with %r and %d bytes behind its head, among them "
                 "the text of a request %s" % (outer, framing, len(body), inner))
    reader, writer = await asyncio.open_connection(*gateway.addr("front"))
    writer.write(("POST /pay/outer HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                  "Deadline-Ms: 2500\r\n%s\r\n%s" % (HOST, outer, framing, body)).encode())
    answers = []
    try:
        while True:
            start, fields = await asyncio.wait_for(read_head(reader), 1.5)
            await read_body(reader, fields)
            answers.append((start, dict(fields).get("request-id", "")))
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()
    fleet.record("client got %s" % answers)
    return inner


async def case():
    fleet = Fleet(HERE, gateways=1)
    try:
        await fleet.start(config(7, [route("pay", "/pay/", "unsafe", "desk")],
                                 [plain_service("desk")]))
        for _ in range(3):
            await fleet.worker("desk", work_s=0.03)
        gateway = fleet.gateways[0]
        if not await gateway.ready():
            return 2
        inner = [await send(fleet, gateway, number, framing)
                 for number, framing in enumerate(FRAMINGS)]
        await asyncio.sleep(1)
    finally:
        await fleet.stop()
    ran = {run[1] for worker in fleet.workers for run in worker.runs}
    smuggled = [rid for rid in inner if rid in ran]
    outer = [rid for rid in ran if rid.startswith("outer")]
    text = ("%d outer requests ran; requests run by a worker that were smuggled inside "
            "another one: %d of %d %s" % (len(outer), len(smuggled), len(inner), smuggled))
    fleet.record(text)
    print(text)
    return 1 if smuggled else 0


main(case, HERE)
