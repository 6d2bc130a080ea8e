"""Fault soak: real gateways, stand-ins of the platform, seeded faults.

Each seed draws a schedule of faults, alone and overlapping, and plays it while
clients ask; what clients, upstreams and the store saw is checked against the
promises of the users' pages.  Exit status 1 if a seed broke one.
"""

import argparse
import asyncio
import concurrent.futures
import os
import shutil
import signal
import subprocess
import sys
import time

from soak_lib import builds, checks, clients, stand_ins, world

# Calm before the first fault and after the last one, seconds.
WARM_UP_S = 2.0
CALM_S = 5.0
RATE_PER_S = 60
# Gateways catch up with what they missed within this.
SETTLE_S = 3.5
# Seeds from here on also draw restores of the store from copies, upstreams that
# say they leave or ask for a pause, and bytes without end; earlier seeds play
# what they always played.
FIRST_LATER_SEED = 1000
# From here on also connections that go silent, and starts after a restore.
FIRST_SILENT_SEED = 2000
# From here on also upstreams that name a rate limit, and requests that end their
# upstreams.
FIRST_LIMIT_SEED = 3000
# From here on also upstreams of two software versions, and clients that resume
# streams.
FIRST_VERSION_SEED = 4000
# From here on also upstreams that stand still while the configuration changes,
# and clients that keep their connections.
FIRST_STILL_SEED = 5000
# From here on also upstreams that are processes of their own, machines that
# stop for moments, gateways that are replaced by another build and back, and
# clients that keep addresses.
FIRST_BUILDS_SEED = 6000
# From here on also plain answers of several hundred kilobytes, clients that pause
# while they read them, and answers that come twice, the second time late.
FIRST_LONG_SEED = 7000
# From here on upstreams also refuse many requests, each refusal comes once
# more, later, and clients come back with the id that was refused; to few
# gateways, so that they meet the copies.
FIRST_REFUSAL_SEED = 8000
REFUSED_SHARE, FEW_GATEWAYS = 0.5, 2
# A rate limit is judged in windows of this length.
WINDOW_S = 4.0
# Time in which a change is in force; gateways answer for it again this long
# after the loss of their connections.
APPLY_S, CONTACT_S = 2.0, 3.0
REGRESSIONS = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                           "soak_seeds.txt")


class Faults:
    """Draws and plays one seed's faults."""

    def __init__(self, deployment, callers, length_s, seed, only=None):
        self.world = deployment
        self.callers = callers
        self.random = deployment.random
        # Times and kinds of the faults that excuse something.
        self.spans = []
        self.log = []
        self.plan = []
        # Excuse nothing.
        self.planned = (self.drain, self.leave, self.new_config, self.reload,
                        self.still, self.hush, self.upgrade)
        kinds = [self.stop, self.kill, self.kill_all, self.pause, self.reload,
                 self.store, self.store_link, self.upstream_link, self.crash,
                 self.drain, self.new_config, self.cut_all]
        # Upstreams go wrong in most ways.
        kinds += 5 * [self.upstream]
        self.upstream_troubles = list(stand_ins.Upstream.troubles)
        if seed >= FIRST_LATER_SEED:
            kinds += 2 * [self.restore, self.leave]
            self.upstream_troubles += 2 * stand_ins.Upstream.later_troubles
        if seed >= FIRST_SILENT_SEED:
            kinds += 3 * [self.silence, self.start_after_restore]
        if seed >= FIRST_LIMIT_SEED:
            kinds += 3 * [self.limit, self.lethal]
        if seed >= FIRST_VERSION_SEED:
            kinds += 3 * [self.kill, self.kill_all, self.crash, self.drain]
        if seed >= FIRST_STILL_SEED:
            kinds += 6 * [self.still]
        if seed >= FIRST_BUILDS_SEED:
            kinds += 5 * [self.upgrade, self.stutter, self.hush]
            if seed >= FIRST_LONG_SEED:
                self.upstream_troubles = stand_ins.Upstream.long_troubles
            # Two of three seeds play little that excuses a lost request.
            if seed % 3:
                kinds = [k for k in kinds if k in self.planned]
            if seed % 3 == 1:
                kinds += 5 * [self.stutter]
            if seed >= FIRST_LONG_SEED:
                kinds += 4 * [self.still, self.upstream]
        if only:
            kinds = [getattr(self, only)]
        self.broken = []
        self.upgrading = False
        at = 0.0
        if seed >= FIRST_BUILDS_SEED and self.upgrade in kinds:
            self.plan.append((at, self.upgrade, 0))
        while at < length_s:
            kind = self.random.choice(kinds)
            for_s = self.random.uniform(0.3, min(3.0, length_s))
            self.plan.append((at, kind, for_s))
            # Some faults overlap, some come in a series.
            at += self.random.choice([0.1, 0.5, 1.5])

    def troubled(self, since, to, of=lambda kind: True):
        return any(a < to + SETTLE_S and since < b + SETTLE_S
                   for a, b, kind in self.spans if of(kind))

    def moved(self, since, to):
        """Whether more than short stops of machines touched that span."""
        return self.troubled(since, to, lambda kind: kind != self.stutter)

    def cut(self, since, to):
        """Whether connections to upstreams were cut or harmed in that span."""
        return self.troubled(since, to, lambda kind: kind in (
            self.cut_all, self.upstream_link, self.silence))

    async def play(self):
        start = time.monotonic()
        tasks = []
        for at, kind, for_s in self.plan:
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            tasks.append(asyncio.ensure_future(self.one(kind, for_s)))
        await asyncio.wait(tasks)
        for task in tasks:
            task.result()

    async def one(self, kind, for_s):
        span = [time.monotonic(), float("inf"), kind]
        # Planned leaving excuses nothing.
        if kind not in self.planned:
            self.spans.append(span)
        what = await kind(for_s)
        span[1] = time.monotonic()
        self.log.append("%s %s" % (kind.__name__, what))

    async def stop(self, for_s):
        gateway = self.random.choice(self.world.gateways)
        await self.stop_one(gateway)
        return gateway.name

    async def stop_one(self, gateway):
        gateway.signal(signal.SIGTERM)
        end = time.monotonic() + 9
        while gateway.running and time.monotonic() < end:
            await asyncio.sleep(0.05)
            if gateway.paused:
                end += 0.05
        if gateway.running:
            gateway.own_ends.append("no end within the grace time")
            gateway.signal(signal.SIGKILL)
        await self.restart(gateway, 0.2)

    async def upgrade(self, for_s):
        """Gateways are replaced by the other build, one after the other; all,
        or some of them."""
        if self.upgrading:
            return "twice"
        self.upgrading = True
        gateways = self.world.gateways
        builds = {world.PROGRAM, self.world.earlier_program}
        to = (builds - {gateways[0].program} or builds).pop()
        count = round(self.random.choice([0.5, 1, 1]) * len(gateways))
        for gateway in gateways[:count]:
            # Nobody takes two away at once.
            while not self.all_serve():
                await asyncio.sleep(0.05)
            gateway.program = to
            await self.stop_one(gateway)
            await asyncio.sleep(self.random.uniform(0.3, 1.0))
        self.upgrading = False
        return "%d to %s" % (count, gateways[0].build)

    async def kill(self, for_s):
        gateway = self.random.choice(self.world.gateways)
        gateway.signal(signal.SIGKILL)
        await self.restart(gateway, for_s)
        return gateway.name

    async def kill_all(self, for_s):
        for gateway in self.world.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.world.gateways:
            await self.restart(gateway, 0.2)
        return "all"

    async def restart(self, gateway, after_s):
        await asyncio.sleep(after_s)
        if gateway.expected_end and not gateway.running:
            gateway.start()

    async def pause(self, for_s):
        gateway = self.random.choice(self.world.gateways)
        return gateway.name if await self.freeze(gateway, for_s) else "none"

    async def freeze(self, gateway, for_s):
        if gateway.paused:
            return False
        gateway.paused = True
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        gateway.signal(signal.SIGCONT)
        gateway.paused = False
        return True

    async def stutter(self, for_s):
        """Machines stop for moments, several times in a row."""
        gateways, rounds = self.world.gateways, self.random.randint(3, 6)
        for _ in range(rounds):
            upstreams = list(self.world.upstreams.values())
            await asyncio.gather(
                *(self.freeze(g, self.random.uniform(0.2, 0.6))
                  for g in self.some_of(gateways)),
                *(u.stand_still(self.random.uniform(0.2, 0.6))
                  for u in self.some_of(upstreams)))
            await asyncio.sleep(self.random.uniform(0.02, 0.4))
        return "%d times" % rounds

    def some_of(self, machines):
        return self.random.sample(machines,
                                  self.random.randint(1, len(machines)))

    async def reload(self, for_s):
        gateway = self.random.choice(self.world.gateways)
        gateway.write_settings(slack=self.random.randint(20, 90))
        if self.random.random() < 0.5:
            gateway.signal(signal.SIGHUP)
        return gateway.name

    async def harm(self, target, trouble, for_s):
        target.trouble = trouble
        await asyncio.sleep(for_s)
        if target.trouble == trouble:
            target.trouble = None
        return trouble

    async def store(self, for_s):
        trouble = self.random.choice(stand_ins.Store.troubles)
        if trouble == "compacted":
            self.world.store.compact()
            return trouble
        return await self.harm(self.world.store, trouble, for_s)

    async def store_link(self, for_s):
        return await self.harm(
            self.world.store_link, self.random.choice(stand_ins.Link.troubles),
            for_s)

    def some_upstream(self):
        return self.random.choice(sorted(self.world.upstreams))

    async def upstream(self, for_s):
        upstream = self.world.upstreams[self.some_upstream()]
        return await self.harm(
            upstream, self.random.choice(self.upstream_troubles), for_s)

    async def upstream_link(self, for_s):
        link = self.world.links[self.some_upstream()]
        return await self.harm(
            link, self.random.choice(stand_ins.Link.troubles), for_s)

    async def replace(self, planned, for_s):
        identity = self.some_upstream()
        old = self.world.upstreams[identity]
        role, service = old.role, old.service
        await self.world.remove_upstream(identity, planned)
        await asyncio.sleep(0 if planned else for_s)
        again = identity if self.random.random() < 0.3 and not planned else None
        await self.world.add_upstream(service, role, again)
        return identity

    async def crash(self, for_s):
        return await self.replace(False, for_s)

    async def drain(self, for_s):
        return await self.replace(True, for_s)

    async def leave(self, for_s):
        identity = self.some_upstream()
        old = self.world.upstreams[identity]
        await self.world.leave_by_answers(identity)
        await self.world.add_upstream(old.service, old.role)
        return identity

    async def restore(self, for_s):
        copy = self.world.store.copy()
        await asyncio.sleep(for_s)
        await self.world.restore_store(copy)
        return "era %d" % self.world.store.era

    async def silence(self, for_s):
        """Open connections go silent for good; then a change is made."""
        began = time.monotonic()
        for link in list(self.world.links.values()) + [self.world.store_link]:
            link.silence_open_connections()
        await asyncio.sleep(for_s)
        self.world.put_config()
        changed, version = time.monotonic(), self.world.config_version
        await asyncio.sleep(max(began + CONTACT_S, changed + APPLY_S) -
                            time.monotonic())
        if self.others_since(began - SETTLE_S):
            return "beside others"
        for gateway in self.world.gateways:
            dump = await gateway.dump()
            if dump is None or dump["config_version"] < version:
                self.broken.append("CONFIG %s lacks version %d after silence" %
                                   (gateway.name, version))
        return "judged"

    def others_since(self, since):
        """Whether another fault than the present one touched the time since."""
        return sum(1 for _, end, _ in self.spans if end > since) > 1

    async def start_after_restore(self, for_s):
        """A gateway starts while only its peers know what a restored store
        lost."""
        began = time.monotonic()
        copy = self.world.store.copy()
        self.world.put_config()
        version = self.world.config_version
        draining = asyncio.ensure_future(self.replace(True, 0))
        await asyncio.sleep(0.6)
        gateway = self.random.choice(self.world.gateways)
        gateway.signal(signal.SIGKILL)
        await self.world.copy_comes_back(copy)
        await self.restart(gateway, 0.2)
        dump = None
        while time.monotonic() < began + 5 and not (dump and dump["ready"]):
            await asyncio.sleep(0.05)
            dump = await gateway.dump()
        judged = not self.others_since(began - SETTLE_S)
        if judged and not (dump and dump["ready"] and
                           dump["config_version"] >= version):
            self.broken.append("CONFIG %s serves without version %d" %
                               (gateway.name, version))
        self.world.write_again()
        await draining
        return "judged" if judged else "beside others"

    async def limit(self, for_s):
        """An upstream names a rate limit, which all gateways keep together."""
        upstream = self.world.upstreams[self.some_upstream()]
        if upstream.limit is not None:
            return "twice"
        began = time.monotonic()
        upstream.limit = self.random.choice([0.5, 2.0, 5.0, 12.0])
        upstream.limit_named_at = None
        await asyncio.sleep(CONTACT_S + WINDOW_S + for_s)
        limit, named_at = upstream.limit, upstream.limit_named_at
        upstream.limit = None
        if self.others_since(began - SETTLE_S):
            return "beside others"
        self.broken += checks.check_limit(self.world, upstream, limit,
                                          (named_at or began) + CONTACT_S)
        return "judged"

    async def lethal(self, for_s):
        """One request ends each upstream that runs it, and comes again."""
        began = time.monotonic()
        first_end = len(self.world.lethal_ends)
        kind = self.random.choice(["safe", "unsafe"])
        item = "%x-%s" % (self.random.getrandbits(32), stand_ins.LETHAL)
        attempts = []
        while time.monotonic() < began + CONTACT_S + 1 + for_s:
            attempts.append(asyncio.ensure_future(
                self.callers.attempt(kind, item)))
            await asyncio.sleep(0.25)
        requests = [await attempt for attempt in attempts]
        for restart in self.world.restarts:
            await restart
        if self.others_since(began - SETTLE_S):
            return "beside others"
        self.broken += checks.check_lethal(
            self.world, {request.identity for request in requests},
            self.world.lethal_ends[first_end:], CONTACT_S)
        return "judged"

    async def still(self, for_s):
        """Upstreams of a service stand still just after a change."""
        if self.standing():
            return "twice"
        service = self.random.choice(["model", "model", "shop"])
        for_s = self.random.uniform(0.9, 1.6)
        upstreams = [u for u in self.world.upstreams.values()
                     if u.service == service]
        share = self.random.choice([0.6, 1.0])
        chosen = self.random.sample(upstreams, round(share * len(upstreams)))
        await self.change_and_stand(chosen, for_s)
        return "%d of %s" % (len(chosen), service)

    def all_serve(self):
        return all(gateway.running and not gateway.expected_end
                   for gateway in self.world.gateways)

    def standing(self):
        return any(not u.awake.is_set() for u in self.world.upstreams.values())

    async def change_and_stand(self, upstreams, for_s):
        self.world.put_config(self.random.choice([0.8, 1.0, 1.2]),
                              idle_s=self.random.choice([1.0, 3.0, 15.0]))
        await asyncio.sleep(self.random.uniform(0, 0.6))
        await asyncio.gather(*(u.stand_still(for_s) for u in upstreams))

    async def hush(self, for_s):
        """All upstreams stand still beside a change and a planned stop."""
        if self.standing():
            return "twice"
        for_s = self.random.uniform(0.9, 1.6)
        stopping = self.random.random() < 0.6 and self.all_serve()
        await asyncio.gather(
            self.change_and_stand(list(self.world.upstreams.values()), for_s),
            self.stop(0) if stopping else asyncio.sleep(0))
        return "and a stop" if stopping else "and a change"

    async def new_config(self, for_s):
        self.world.put_config(self.random.choice([0.8, 1.0, 1.2]))
        return str(self.world.config_version)

    async def cut_all(self, for_s):
        for server in list(self.world.links.values()) + [self.world.store_link]:
            server.cut()
        return "all"


async def watch(deployment, peak):
    while True:
        for gateway in deployment.gateways:
            gateway.check_alive()
            peak[0] = max(peak[0], gateway.resident_mb())
        await asyncio.sleep(0.1)


async def play(seed, length_s, size, only=None, beside=None):
    refusing = seed >= FIRST_REFUSAL_SEED
    if refusing:
        size = (min(size[0], FEW_GATEWAYS),) + size[1:]
    deployment = world.World(seed, *size)
    deployment.twice = REFUSED_SHARE if refusing else None
    deployment.earlier_program = beside or world.PROGRAM
    deployment.stoppable = seed >= FIRST_BUILDS_SEED
    deployment.keeps_addresses = seed >= FIRST_BUILDS_SEED
    deployment.resumes = seed >= FIRST_VERSION_SEED
    # Builds before the forward address know no versions.
    deployment.mixed = deployment.resumes and all(
        world.knows_forward(program)
        for program in (world.PROGRAM, deployment.earlier_program))
    deployment.keeps_connections = seed >= FIRST_STILL_SEED
    deployment.long_answers = seed >= FIRST_LONG_SEED
    callers = clients.Clients(deployment)
    faults = Faults(deployment, callers, length_s, seed, only)
    peak = [0]
    try:
        await deployment.start()
        watcher = asyncio.ensure_future(watch(deployment, peak))
        await asyncio.sleep(1.5)
        end = (time.monotonic() + WARM_UP_S + length_s + SETTLE_S + CALM_S + 6)
        asking = asyncio.ensure_future(callers.run(end, RATE_PER_S))
        await asyncio.sleep(WARM_UP_S)
        await faults.play()
        deployment.refuse_no_more()
        calm_from = time.monotonic() + SETTLE_S
        # Upgrades take their time.
        if seed >= FIRST_BUILDS_SEED:
            callers.until = calm_from + CALM_S
        # Leaving that no fault excuses.
        await asyncio.sleep(SETTLE_S)
        await faults.drain(0)
        await asyncio.sleep(max(0, calm_from + CALM_S - time.monotonic()))
        await asking
        watcher.cancel()
        # What is late, and against a promise, still arrives.
        await asyncio.sleep(0.5)
        broken = faults.broken
        broken += checks.check(deployment, callers.requests, faults)
        broken += checks.check_recovery(callers.requests, calm_from)
        broken += checks.check_store_followed(deployment)
        if refusing:
            broken += checks.check_not_quiet(deployment.refusals())
        if peak[0] > checks.MAX_RESIDENT_MB:
            broken.append("MEMORY %.0f MB" % peak[0])
    finally:
        deployment.stop()
        await asyncio.gather(*(u.gone() for u in deployment.all_upstreams))
    served = sum(1 for r in callers.requests.values()
                 if r.status == 200 and r.complete)
    about = about_refusals(deployment, callers) if refusing else ""
    print("seed %d: %d of %d served, %d faults, peak %.0f MB%s: %s" %
          (seed, served, len(callers.requests), len(faults.plan), peak[0],
           about, "ok" if not broken else "BROKEN"))
    for text in broken[:10]:
        print("  " + text)
    if broken:
        deployment.write_runs()
        print("  faults: " + "; ".join(faults.log))
        print("  logs: " + deployment.directory)
    else:
        shutil.rmtree(deployment.directory)
    return not broken


def about_refusals(deployment, callers):
    seen = deployment.refusals()
    returned = sum(len(list(request.attempts())) - 1
                   for request in callers.requests.values())
    return (", %d refusals, %d copies, %d met their request, %d requests came "
            "back with their id, %d arrivals while a copy was due" %
            (seen["refused"], seen["copied"] + seen["met"], seen["met"],
             returned, seen["awaited"]))


def play_alone(seed, arguments):
    """Plays a seed in a process of its own."""
    done = subprocess.run(
        [sys.executable, os.path.abspath(__file__), "--first", str(seed),
         "--seeds", "1", "--jobs", "1"] + arguments, stdout=subprocess.PIPE)
    print(done.stdout.decode(), end="", flush=True)
    return done.returncode == 0


def regression_seeds():
    with open(REGRESSIONS) as f:
        return [int(line.split()[0]) for line in f
                if line.strip() and not line.startswith("#")]


def main():
    # Ended from outside, a play ends its gateways as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length", type=float, default=8,
                        help="seconds with faults")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--plain", type=int, default=3)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--program", default=world.PROGRAM,
                        help="the gateway to play against")
    parser.add_argument("--beside", metavar="COMMIT",
                        help="start with that commit's gateways; seeds from "
                        "%d on upgrade them" % FIRST_BUILDS_SEED)
    parser.add_argument("--only", help="draw this kind of fault alone")
    parser.add_argument("--regressions", action="store_true",
                        help="also the seeds of soak_seeds.txt")
    args = parser.parse_args()
    seeds = list(range(args.first, args.first + args.seeds))
    if args.regressions:
        seeds = regression_seeds() + seeds
    size = (args.gateways, args.plain, args.engines)
    world.PROGRAM = args.program
    beside = builds.program_of(args.beside) if args.beside else None
    if len(seeds) == 1:
        good = asyncio.run(play(seeds[0], args.length, size, args.only,
                                beside))
        return 0 if good else 1
    arguments = ["--length", str(args.length), "--program", args.program,
                 "--gateways", str(args.gateways), "--plain", str(args.plain),
                 "--engines", str(args.engines)]
    if args.only:
        arguments += ["--only", args.only]
    if args.beside:
        arguments += ["--beside", args.beside]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        good = list(pool.map(lambda seed: play_alone(seed, arguments), seeds))
    print("%d of %d seeds kept every promise" % (sum(good), len(good)))
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
