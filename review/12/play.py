"""A request ends each worker that runs it, a few events into its answer."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))

import engines  # noqa: E402
from harness import BROKEN, CONTACT_S, HELD, TROUBLE, run  # noqa: E402

# The rule allows so many retries after that time.
MOST_RETRIES = 3
CRASHES = 3
RESTART_S = 2.0
# The worker ends at this event of the fatal request.
FATAL_EVENT = int(os.environ.get("FATAL_EVENT", "5"))
FATAL = "/chat/fatal"
INTERVAL_S = 1.5


async def bring_back(worker):
    while True:
        if not worker.is_up:
            await asyncio.sleep(RESTART_S)
            await worker.start()
        await asyncio.sleep(0.05)


async def ask_again(case, ids):
    """The same path, caller and body, at one gateway after the other."""
    for number in range(20):
        gateway = case.gateways[number % len(case.gateways)]
        request = "%016x" % (0xfa7a1 << 32 | number)
        ids.add(request)
        case.spawn(engines.ask(case, gateway, request, target=FATAL,
                               prefix="9:80,fa7a1:140", body=b"fatal"))
        await asyncio.sleep(INTERVAL_S)


async def play(case):
    workers = [engines.Worker(case, "i-%04x" % (0xa10 + number), number, "v1",
                              events=40)
               for number in range(6)]
    await case.start([engines.ROUTE], [engines.MODEL_SERVICE])
    ids = set()
    for worker in workers:
        await worker.start()
        if TROUBLE:
            worker.is_fatal = lambda request, fields, event: (
                request in ids and event >= FATAL_EVENT)
        case.spawn(bring_back(worker))
    await case.until_ready()
    clients = engines.Clients(case, per_s=8)
    asking = case.spawn(clients.run(34.0))
    await asyncio.sleep(2.0)
    await ask_again(case, ids)
    await asking
    crashes = sorted(at for worker in workers for at in worker.crashes)
    arrivals = sorted(at for worker in workers
                      for at, request in worker.arrivals if request in ids)
    late = []
    if len(crashes) >= CRASHES:
        late = [at for at in arrivals
                if at > crashes[CRASHES - 1] + CONTACT_S]
    for at in crashes:
        case.note("crash at", "%.3f" % (at - case.began))
    sound = [s for s in clients.streams if s.complete and s.status == 200]
    text = ("%d crashes, %d arrivals of the request, %d of them later than "
            "%.0f s after the third crash; %d of %d sound streams complete"
            % (len(crashes), len(arrivals), len(late), CONTACT_S, len(sound),
               len(clients.streams)))
    case.note(text)
    print(text)
    if not arrivals:
        raise RuntimeError("the request reached no worker")
    return BROKEN if len(late) > MOST_RETRIES else HELD


run(HERE, play)
