"""The soak's deployment: stand-ins in this process, gateways as processes."""

import asyncio
import collections
import functools
import json
import os
import random
import signal
import subprocess
import tempfile
import time
import urllib.request

from . import processes, stand_ins
from .ports import free_ports

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
PROGRAM = os.path.join(ROOT, "build", "corianderlink-gateway")
HOST = "soak.example"
DRAIN_S = 2.0
# From the end of an upstream under a lethal request until it is back.
LETHAL_RESTART_S = 1.5
ROUTES = {
    "unsafe": {"prefix": "/book/", "kind": "unsafe", "service": "shop",
               "attempts": 1, "timeout_ms": 2500, "slo_ms": 150},
    "safe": {"prefix": "/look/", "kind": "safe", "service": "shop",
             "attempts": 2, "timeout_ms": 2500, "slo_ms": 150},
    "stream": {"prefix": "/chat/", "kind": "stream", "service": "model",
               "attempts": 2, "timeout_ms": 6000, "slo_ms": 200,
               "resumable": True, "gap_aim_ms": 200},
    "once": {"prefix": "/read/", "kind": "stream", "service": "model",
             "attempts": 1, "timeout_ms": 4000, "slo_ms": 200,
             "resumable": False, "gap_aim_ms": 200},
}


# Plain answers of several hundred kilobytes; part of the later tiers only.
LONG_ROUTES = {
    "far": {"prefix": "/far/", "kind": "safe", "service": "shop",
            "attempts": 2, "timeout_ms": 7000, "slo_ms": 150},
    "far_once": {"prefix": "/buy/", "kind": "unsafe", "service": "shop",
                 "attempts": 1, "timeout_ms": 7000, "slo_ms": 150},
}


def route_of(kind):
    return ROUTES.get(kind) or LONG_ROUTES[kind]


@functools.cache
def knows_forward(program):
    """Whether that build can be told where peers hand requests over."""
    with tempfile.NamedTemporaryFile("w") as f:
        f.write('{"listen": {"forward": "127.0.0.1:1"}}')
        f.flush()
        refused = subprocess.run([program, "--settings", f.name],
                                 stdout=subprocess.PIPE,
                                 stderr=subprocess.STDOUT)
    return b"/listen/forward" not in refused.stdout


class Gateway:
    """One gateway process, which the soak stops, pauses and starts again."""

    def __init__(self, name, store_port, directory):
        self.name = name
        # The build that runs at the next start, and the one that was started.
        self.program = self.started = PROGRAM
        (self.front, self.ready, self.directory, self.peer, self.forward,
         self.admin) = free_ports(6)
        self.store_port = store_port
        self.file = os.path.join(directory, name + ".json")
        self.log = os.path.join(directory, name + ".log")
        self.process = None
        self.expected_end = False
        self.paused = False
        self.own_ends = []

    def write_settings(self, slack=50):
        self.slack = slack
        at = "127.0.0.1:%d"
        listen = {"front": at % self.front, "ready": at % self.ready,
                  "directory": at % self.directory, "peer": at % self.peer,
                  "admin": at % self.admin}
        if knows_forward(self.program):
            listen["forward"] = at % self.forward
        with open(self.file, "w") as f:
            json.dump({
                "instance": self.name, "availability_zone": "zone-a",
                "listen": listen,
                "store": at % self.store_port, "max_descriptors": 4096,
                "stop_grace_s": 8, "directory_ttl_max_s": 5, "lease_s": 3,
                "retries": {"ratio": 0.2, "slack": slack, "window_s": 10},
            }, f)

    def start(self):
        self.expected_end = False
        self.started = self.program
        self.write_settings(self.slack)
        with open(self.log, "ab") as log:
            log.write(b"soak: start %s\n" % self.program.encode())
            log.flush()
            self.process = subprocess.Popen(
                [self.program, "--settings", self.file], stdout=log, stderr=log)

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    @property
    def build(self):
        return "new" if self.started == PROGRAM else "earlier"

    def signal(self, number):
        if self.running:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.expected_end = True
            self.process.send_signal(number)

    def check_alive(self):
        if self.process and not self.expected_end and not self.running:
            self.own_ends.append(self.process.returncode)
            self.start()

    def resident_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                return int(f.read().split()[1]) * 4096 / 1e6
        except (OSError, IndexError, AttributeError):
            return 0


    async def dump(self):
        """The state dump; None if the process does not answer."""
        def fetch():
            url = "http://127.0.0.1:%d/dump" % self.admin
            with urllib.request.urlopen(url, timeout=1) as answer:
                return json.load(answer)
        try:
            return await asyncio.get_running_loop().run_in_executor(None, fetch)
        except OSError:
            return None


class World:
    def __init__(self, seed, gateways, plain, engines):
        self.random = random.Random(seed)
        self.directory = tempfile.mkdtemp(prefix="corianderlink-soak-")
        self.counts = (gateways, plain, engines)
        self.store = stand_ins.Store()
        self.store_link = None
        self.gateways = []
        self.upstreams = {}
        self.links = {}
        self.all_upstreams = []
        self.runs, self.arrivals = [], []
        self.left = {}
        self.draining = set()
        self.config = None
        self.config_version = 0
        self.next_id = 0
        # Upstreams of two software versions serve side by side.
        self.mixed = False
        # Clients resume streams.
        self.resumes = False
        # Clients use a connection for many requests.
        self.keeps_connections = False
        # Clients keep an answer of the directory.
        self.keeps_addresses = False
        # Upstreams are processes of their own, half of them without a link.
        self.stoppable = False
        # The build that gateways are upgraded from.
        self.earlier_program = PROGRAM
        # Some answers are long, and some clients pause while they read them.
        self.long_answers = False
        # Share of requests that upstreams refuse, each refusal twice.
        self.twice = None
        # The shortest time for which a client may leave a connection idle.
        self.idle_s = 15
        # When upstreams ended under a lethal request.
        self.lethal_ends = []
        self.restarts = []

    async def start(self):
        gateways, plain, engines = self.counts
        store_port = free_ports(1)[0]
        await self.store.listen(store_port)
        self.put_config()
        for i in range(plain):
            await self.add_upstream("shop", None)
        for i in range(engines):
            await self.add_upstream("model",
                                    "prefill" if i % 3 == 0 else "decode")
        # One address of the store for all: gateways with other stores belong to
        # other deployments.
        self.store_link = stand_ins.Link(store_port, share=0.5)
        port = free_ports(1)[0]
        await self.store_link.listen(port)
        for i in range(gateways):
            gateway = Gateway("gateway-%d" % i, port, self.directory)
            gateway.program = self.earlier_program
            gateway.write_settings()
            gateway.start()
            self.gateways.append(gateway)

    def routes(self):
        return {**ROUTES, **LONG_ROUTES} if self.long_answers else ROUTES

    def put_config(self, timeout_factor=1.0, idle_s=15):
        self.idle_s = idle_s
        self.config_version += self.random.randint(1, 5)
        routes = []
        for name, route in self.routes().items():
            routes.append(dict(route, name="r-" + name, host=HOST, priority=0,
                               timeout_ms=route["timeout_ms"] * timeout_factor,
                               sticky=route["kind"] == "stream"))
        engine = {"slots": 32, "kv_capacity": 232000, "kv_token_bytes": 18432,
                  "link_mbps": 2900000.0, "kv_ttl_s": 5.0}
        services = [
            {"name": "shop", "health_path": "/healthz", "max_conns": 100},
            {"name": "model", "health_path": "/healthz", "max_conns": 200,
             "engine": engine}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                  "header_timeout_ms": 3000, "idle_timeout_ms": idle_s * 1000}
        self.config = {
            "version": self.config_version, "routes": routes,
            "services": services, "limits": limits}
        self.store.put("op", "config", self.config)

    async def restore_store(self, copy):
        """The store comes back from a copy after a moment; then the operator
        and the upstreams write again what they had written."""
        await self.copy_comes_back(copy)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        self.write_again()

    async def copy_comes_back(self, copy):
        self.store.trouble = "down"
        await asyncio.sleep(0.3)
        self.store.restore(copy)
        self.store.trouble = None

    def write_again(self):
        self.store.put("op", "config", self.config)
        for upstream in list(self.upstreams.values()) + list(self.draining):
            self.put_upstream(upstream, upstream.state)
        present = set(self.upstreams) | {u.identity for u in self.draining}
        for identity in set(self.store.rows.get("servers", {})) - present:
            self.store.remove("servers", identity)

    async def add_upstream(self, service, role, identity=None):
        if identity is None:
            self.next_id += 1
            identity = "i-%04x" % self.next_id
        make = (processes.StoppableUpstream if self.stoppable
                else stand_ins.Upstream)
        upstream = make(identity, service, role, self.runs, self.arrivals)
        if self.mixed:
            upstream.version = self.random.choice(["v1", "v2"])
        upstream.twice = self.twice
        inner, outer = free_ports(2)
        await upstream.listen(inner)
        link = stand_ins.Link(inner)
        await link.listen(outer)
        direct = self.stoppable and self.random.random() < 0.5
        upstream.port = inner if direct else outer
        upstream.on_lethal = self.end_upstream
        self.upstreams[identity] = upstream
        self.all_upstreams.append(upstream)
        self.links[identity] = link
        self.left.pop(identity, None)
        self.put_upstream(upstream)
        return upstream

    def put_upstream(self, upstream, state="ready"):
        upstream.seq += 1
        upstream.state = state
        row = {"service": upstream.service, "zone": "zone-a",
               "version": upstream.version, "addr": "127.0.0.1:%d" % upstream.port, "state": state,
               "slots": upstream.slots, "cold_left_ms": 0,
               "seq": upstream.seq, "born": upstream.born}
        if upstream.role:
            row.update(phase=upstream.role,
                       models=[{"name": "m", "version": 1, "adapters": []}])
        return self.store.put("servers", upstream.identity, row)

    async def remove_upstream(self, identity, planned):
        """Takes an upstream away: announced and drained, or at once."""
        upstream = self.upstreams.pop(identity)
        link = self.links.pop(identity)
        if planned:
            self.draining.add(upstream)
            self.left[identity] = self.put_upstream(upstream, "draining")
            await asyncio.sleep(DRAIN_S + 1.5)
            self.draining.discard(upstream)
        self.store.remove("servers", identity)
        upstream.close()
        link.close()

    def refuse_no_more(self):
        """Copies of earlier refusals still come."""
        self.twice = 0.0 if self.twice else None
        for upstream in self.upstreams.values():
            upstream.twice = self.twice

    def refusals(self):
        """How often `Copies` saw what."""
        return collections.Counter(what for upstream in self.all_upstreams
                                   for what, *_ in upstream.refusals)

    def stood_still(self, identity, since, to):
        return any(u.stood_still(since, to) for u in self.all_upstreams
                   if u.identity == identity)

    def end_upstream(self, upstream):
        """The process ends by itself, and is back later under a new id."""
        if self.upstreams.get(upstream.identity) is not upstream:
            return
        self.lethal_ends.append(asyncio.get_running_loop().time())
        upstream.close()
        self.links[upstream.identity].close()
        self.restarts.append(asyncio.ensure_future(self.start_again(upstream)))

    async def start_again(self, upstream):
        await asyncio.sleep(LETHAL_RESTART_S)
        if self.upstreams.pop(upstream.identity, None) is not None:
            self.links.pop(upstream.identity)
            self.store.remove("servers", upstream.identity)
            await self.add_upstream(upstream.service, upstream.role)

    async def leave_by_answers(self, identity):
        """An upstream says in its answers only that it leaves."""
        upstream = self.upstreams.pop(identity)
        self.draining.add(upstream)
        upstream.leaving = True
        end = asyncio.get_running_loop().time() + DRAIN_S + 1.5
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
            if upstream.said_leaving:
                self.left[identity] = upstream.said_leaving
        self.draining.discard(upstream)
        self.store.remove("servers", identity)
        upstream.close()
        self.links.pop(identity).close()

    def write_runs(self):
        """Leaves beside the logs what upstreams ran, and when they stood still;
        in the time of the logs."""
        wall = time.time() - time.monotonic()

        def clock(at):
            return at and "%s.%03d" % (
                time.strftime("%H:%M:%S", time.gmtime(at + wall)),
                (at + wall) % 1 * 1000)
        with open(os.path.join(self.directory, "runs.txt"), "w") as f:
            for run in self.runs:
                print("run", run.request, run.upstream, clock(run.began),
                      clock(run.ended), run.status, file=f)
            for upstream in self.all_upstreams:
                for what, at, request, port in upstream.refusals:
                    print(what, request, upstream.identity, clock(at),
                          "port %d" % port, file=f)
                for began, ended in upstream.still_spans:
                    print("still", upstream.identity, clock(began),
                          clock(ended), file=f)

    def stop(self):
        for gateway in self.gateways:
            if gateway.paused:
                gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process:
                gateway.process.wait()
        store = [self.store] + ([self.store_link] if self.store_link else [])
        for server in (store +
                       list(self.links.values()) + self.all_upstreams):
            server.close()
