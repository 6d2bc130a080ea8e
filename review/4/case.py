"""The store comes back from a copy while all machines lose power.

TROUBLE=power leaves out the store's part only.
"""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
from deployment import (  # noqa: E402
    CannotRun, HOST, TROUBLE, Worker, http1, main, stand_ins)

SLOTS = 4
ROLE_SWITCH_S = 1.0
# The copy from which the store comes back is at most this old.
COPY_AGE_S = 5.0
STORE_AWAY_S = 0.5
# From then until the second machine is back; the first one is lost
# for good.
DOWN_S = 0.8
RESTORE = os.environ.get("TROUBLE") != "power"


class Engine(Worker):
    """A model worker that takes orders and changes its phase."""

    def __init__(self, *args, orders):
        super().__init__(*args)
        self.orders = orders
        self.accepted = 0
        self.busy = False

    async def exchange(self, reader, writer):
        first, fields = await http1.read_head(reader)
        body = await http1.read_body(reader, fields)
        method, target, _ = first.split(" ")
        expected = fields.get("expect-instance")
        if expected and expected != self.identity:
            writer.write(stand_ins.reply(421, Instance_Id=self.identity))
        elif target == "/healthz":
            writer.write(stand_ins.reply(200, Instance_Id=self.identity))
        elif target == "/report":
            report = {"phase": self.role, "models": [], "busy": self.busy,
                      "seq": self.accepted, "queued": 0, "running": 0}
            writer.write(stand_ins.reply(200, json.dumps(report).encode()))
        elif target == "/order":
            writer.write(stand_ins.reply(self.order(json.loads(body)), b"{}"))
        elif method == "DELETE":
            writer.write(stand_ins.reply(200))
        elif "request-id" not in fields:
            writer.write(stand_ins.reply(400, Not_Run="1"))
        else:
            return await self.serve(fields, writer)
        return True

    def order(self, order):
        status = 202
        if self.busy or order.get("expected", self.accepted) != self.accepted:
            status = 409
        self.deployment.record(self.identity, "order %s -> %d" %
                               (json.dumps(order), status))
        self.orders.append((self.identity, order["holder"], order["fence"],
                            status))
        if status == 202:
            self.accepted += 1
            self.busy = True
            asyncio.ensure_future(self.change(order["phase"]))
        return status

    async def change(self, phase):
        await asyncio.sleep(ROLE_SWITCH_S)
        self.role, self.busy = phase, False
        self.register()

    async def serve(self, fields, writer):
        identity = fields["request-id"]
        prefill = fields.get("stage") == "prefill"
        self.deployment.record(self.identity, "%s request: id=%s" % (
            "prefill" if prefill else "run", identity))
        if prefill != (self.role == "prefill"):
            writer.write(stand_ins.reply(421, Request_Id=identity))
            return True
        if self.busy:
            writer.write(stand_ins.reply(503, Not_Run="1",
                                         Request_Id=identity))
            return True
        tokens, output = map(int, fields["token-count"].split(","))
        if prefill:
            await asyncio.sleep(tokens / 310e3)
            handle = {"handle": "h" + identity, "tokens": tokens, "version": 1}
            writer.write(stand_ins.reply(200, json.dumps(handle).encode(),
                                         Request_Id=identity))
            return True
        if "kv-from" not in fields:
            await asyncio.sleep(2 * tokens / 310e3)
        writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" %
                      (identity, self.identity)).encode())
        for event in range(1, output + 1):
            writer.write(http1.chunk(b"id: %d\ndata: x\n\n" % event))
            await asyncio.sleep(0.02)
        writer.write(http1.chunk(b""))
        await writer.drain()
        return True


class Traffic:
    """Clients whose mix shifts between long answers and long prompts."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.long_prompts = False
        self.number = 0
        self.answers = {}

    async def client(self):
        while True:
            running = [g for g in self.deployment.gateways if g.running()]
            if not running:
                await asyncio.sleep(0.2)
                continue
            self.number += 1
            request = "%016x" % (0x50000 + self.number)
            path, tokens = (("/tag/t", "9190,2") if self.long_prompts
                            else ("/chat/c", "1220,90"))
            self.deployment.record("client", "sends POST %s id=%s" %
                                   (path, request))
            prefix = ("a%x:6300,%s:2890" if self.long_prompts
                      else "b%x:79,%s:1141") % (self.number % 40, request[-8:])
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", running[self.number % len(running)].front)
                writer.write(http1.message(
                    "POST %s HTTP/1.1" % path,
                    {"Host": HOST, "Request-Id": request, "Deadline-Ms":
                     "15000", "Model": "m", "Token-Count": tokens,
                     "Prompt-Prefix": prefix}, b"q" * 200))
                first, fields = await asyncio.wait_for(
                    http1.read_head(reader), 16)
                await asyncio.wait_for(http1.read_body(reader, fields), 16)
                status = first.split(" ")[1]
            except (http1.Cut, OSError, asyncio.TimeoutError):
                status = "none"
            self.answers[status] = self.answers.get(status, 0) + 1
            self.deployment.record("client", "id=%s gets %s" %
                                   (request, status))
            writer.transport.abort()
            await asyncio.sleep(0.02 if status == "200" else 0.1)


async def play(deployment):
    orders = []
    engines = [Engine(deployment, "i-%02d" % n, "model", SLOTS, None,
                      "decode" if n > 10 else "prefill", orders=orders)
               for n in range(1, 17)]
    await deployment.start(engines, gateways=2)
    first, second = deployment.gateways
    traffic = Traffic(deployment)
    clients = [asyncio.ensure_future(traffic.client()) for _ in range(20)]
    record = deployment.record
    copies = []

    async def restore_store():
        now = time.monotonic()
        copied_at, copy = next((at, c) for at, c in copies
                               if now - at <= COPY_AGE_S)
        deployment.store.trouble = "down"
        await asyncio.sleep(STORE_AWAY_S)
        deployment.store.trouble = None
        deployment.store.restore(copy)
        record("store", "is back from a copy of %.1f s ago; era %d; duties: %s" %
               (time.monotonic() - copied_at, deployment.store.era,
                deployment.store.rows.get("duties", {})))
        # What the operator and the workers wrote is written again.
        deployment.put_config()
        for engine in engines:
            engine.register()

    async def wait_for(what, within_s):
        end = time.monotonic() + within_s
        while not what():
            copies.append((time.monotonic(), deployment.store.copy()))
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.1)
        return True

    # The mix is on the side of long answers, and a worker is ordered to decode.
    if not await wait_for(lambda: any(o[3] == 202 for o in orders), 30):
        raise CannotRun("no first order: %s" % traffic.answers)
    await asyncio.sleep(ROLE_SWITCH_S + 0.5)
    ordered = len(orders)
    if TROUBLE:
        # All machines lose power; the first one is lost for good.
        for gateway in deployment.gateways:
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
        if RESTORE:
            await restore_store()
        await asyncio.sleep(DOWN_S)
        await second.start()
        await second.wait_ready()
    else:
        # The first machine leaves as planned.
        first.signal(signal.SIGTERM)
        await first.process.wait()
    # The mix shifts to long prompts.
    traffic.long_prompts = True
    engines_before = {order[0] for order in orders}
    await wait_for(lambda: any(order[0] in engines_before
                               for order in orders[ordered:]), 45)
    for task in clients:
        task.cancel()
    record("case", "orders: %s; answers: %s" % (orders, traffic.answers))
    tokens = {}
    for engine, holder, fence, _ in orders:
        tokens.setdefault((engine, fence), set()).add(holder.split(".")[0])
    shared = {key: sorted(who) for key, who in tokens.items() if len(who) > 1}
    lower = []
    highest = {}
    for engine, holder, fence, _ in orders:
        if fence < highest.get(engine, 0):
            lower.append((engine, holder, fence))
        highest[engine] = max(fence, highest.get(engine, 0))
    if len(orders) == ordered:
        raise CannotRun("no second order: %s" % traffic.answers)
    return (shared or lower) and "orders to one worker: one token of two " \
        "machines %s, lower after higher %s" % (shared, lower)


main(os.path.dirname(os.path.abspath(__file__)), play)
