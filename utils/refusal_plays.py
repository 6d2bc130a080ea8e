"""Refusals that upstreams write once more, beside clients that come back.

One to three real gateways, one to three plain upstreams that refuse most
requests and write each refusal again later on its connection.  A play fails if
a request runs twice, is refused though it ran, gets another's answer or none.
"""

import argparse
import asyncio
import shutil
import signal
import sys
import time

from soak_lib import refusals, stops, world

# New requests a second, by the seed.
RATES = (8, 9, 10)
# What breaks no rule; 502 and 504 promise nothing.
ALLOWED = ("refused", "crossed", "not sent", "502", "504")
# Between changes of the configuration, and between planned restarts.
CHANGE_S, RESTART_S = (3.0, 7.0), (6.0, 10.0)
# A play ends so long after its last new request, at the latest.
MAX_END_S = 40


class Play:
    def __init__(self, seed, program, length_s):
        # Most plays have one gateway and few upstreams: copies meet more there.
        gateways = (1, 1, 2, 1, 3)[seed % 5]
        plain = (2, 2, 1, 3)[seed % 4]
        self.world = refusals.World(seed, gateways, plain, 0)
        self.callers = refusals.Clients(self.world)
        world.PROGRAM = self.world.earlier_program = program
        self.random = self.world.random
        self.rate, self.length_s = RATES[seed % 3], length_s
        self.changes, self.restarts = seed % 2 == 0, gateways > 1
        self.changed = self.restarted = 0
        self.lateness = stops.Lateness()

    async def change(self, until):
        while True:
            await asyncio.sleep(self.random.uniform(*CHANGE_S))
            if time.monotonic() > until:
                return
            self.world.put_config(self.random.choice([0.9, 1.0, 1.2]))
            self.changed += 1

    async def restart(self, until):
        while True:
            await asyncio.sleep(self.random.uniform(*RESTART_S))
            if time.monotonic() > until:
                return
            gateway = self.random.choice(self.world.gateways)
            gateway.signal(signal.SIGTERM)
            self.restarted += 1
            end = time.monotonic() + stops.GRACE_S
            while gateway.running and time.monotonic() < end:
                await asyncio.sleep(0.01)
            if gateway.running:
                gateway.own_ends.append("no end within the grace time")
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
            gateway.start()

    async def run(self):
        tasks = []
        try:
            await self.world.start()
            await asyncio.sleep(2.0)
            tasks.append(asyncio.ensure_future(self.lateness.watch()))
            until = time.monotonic() + self.length_s
            if self.changes:
                tasks.append(asyncio.ensure_future(self.change(until)))
            if self.restarts:
                tasks.append(asyncio.ensure_future(self.restart(until)))
            await asyncio.wait_for(self.callers.run(until, self.rate),
                                   self.length_s + MAX_END_S)
            # What was refused may still run.
            await asyncio.sleep(refusals.COPY_DELAY_S + 1)
            await asyncio.gather(*tasks[1:])
            for gateway in self.world.gateways:
                gateway.check_alive()
        finally:
            for task in tasks:
                task.cancel()
            self.world.stop()


def log_lines(play, request):
    """What the logs of all gateways say of the id, or of the path."""
    lines = []
    for gateway in play.world.gateways:
        with open(gateway.log, errors="replace") as log:
            lines += [gateway.name + " " + line.strip() for line in log
                      if (request.identity or request.target) in line]
    return lines


def report(play, seed, verbose):
    deployment, requests = play.world, play.callers.requests
    found, runs = refusals.judge(deployment, requests)
    broken = [name for name in sorted(found) if name not in ALLOWED]
    met = set(deployment.met)
    met_and_broken = {r.key for name in broken for r in found[name]} & met
    print("seed %d: %d gateways, %d upstreams, %d changes, %d restarts; "
          "%d attempts, %d runs, %d copies, %d met their request, %d of these "
          "requests broken; back with the id: %d over the same connection, %d "
          "over another, %d while a copy was due; %s" %
          (seed, len(deployment.gateways), len(deployment.all_upstreams),
           play.changed, play.restarted, len(requests), len(deployment.runs),
           deployment.copies, len(deployment.met), len(met_and_broken),
           deployment.same, deployment.other, deployment.back_in_time,
           ", ".join("%s %d" % (name, len(found[name]))
                     for name in sorted({*found, "TWICE", "REFUSED", "MIXED",
                                         "LOST", "502", "504"}))))
    own_ends = [(g.name, g.own_ends) for g in deployment.gateways if g.own_ends]
    # Then the upstreams, which are in this process, stood still as well.
    late_s = max((late for _, late in play.lateness.spans), default=0)
    if late_s > 0.5:
        print("  this process stood still for %.1f s at most; %d of %d with "
              "504 were in progress when it did so for 0.5 s or more in all" %
              (late_s, sum(play.lateness.within(r.began, r.ended) >= 0.5
                           for r in found["504"]), len(found["504"])))
    if own_ends:
        print("  gateways that ended: %s" % own_ends)
    for name in sorted(found):
        if name in ALLOWED and not (verbose and name in ("502", "504")):
            continue
        for request in found[name][:100 if verbose else 3]:
            print("  %s: %s%s" % (name, request.describe(runs[request.key]),
                                  ", met" if request.key in met else ""))
            for line in log_lines(play, request):
                print("    " + line[:400])
    return not broken and not own_ends


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length", type=float, default=38,
                        help="seconds in which new requests begin")
    parser.add_argument("--program", default=world.PROGRAM,
                        help="the gateway to play against")
    parser.add_argument("--verbose", action="store_true",
                        help="print 502 and 504 as well; keep the logs")
    args = parser.parse_args()
    good = 0
    for seed in range(args.first, args.first + args.seeds):
        play = Play(seed, args.program, args.length)
        asyncio.run(play.run())
        kept = report(play, seed, args.verbose)
        good += kept
        if kept and not args.verbose:
            shutil.rmtree(play.world.directory)
        else:
            deployment = play.world
            deployment.write_runs()
            print("  logs: " + deployment.directory)
        sys.stdout.flush()
    print("%d of %d plays broke no rule" % (good, args.seeds))
    return 0 if good == args.seeds else 1


if __name__ == "__main__":
    sys.exit(main())
