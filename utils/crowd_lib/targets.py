"""The processes under a crowd, with what they hold and an ordinary caller."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import resource
import shutil
import threading
import time

import local_fleet
from soak_lib import http1, world
from soak_lib.ports import free_ports

# Of the gateway in these plays.
GATEWAY_MEMORY_MB = 64
GATEWAY_DESCRIPTORS = 1000
# What the users' machines have, for processes without a setting of their own.
MACHINE_MEMORY_MB = 390
# Of the configuration, as on the users' platform.
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1_048_576,
          "header_timeout_ms": 10_000, "idle_timeout_ms": 60_000}
BODY = bytes(200_000)
PAGE_BYTES = os.sysconf("SC_PAGESIZE")


@dataclasses.dataclass
class Held:
    """Of a process, in MB: resident, and in the kernel's buffers."""
    resident: float = 0.0
    unread: float = 0.0
    descriptors: int = 0

    @property
    def total(self):
        return self.resident + self.unread


def held_by(pid, ports):
    with open("/proc/%d/statm" % pid) as f:
        resident = int(f.read().split()[1]) * PAGE_BYTES / 1e6
    unread = 0
    suffixes = tuple(":%04X" % port for port in ports)
    with open("/proc/net/tcp") as f:
        for line in f:
            row = line.split()
            if row[1].endswith(suffixes):
                unread += sum(int(n, 16) for n in row[4].split(":"))
    return Held(resident, unread / 1e6, len(os.listdir("/proc/%d/fd" % pid)))


async def ask(port, method, path, body=b"", fields=None, timeout_s=10):
    """Status of one ordinary request on a connection of its own; 0 if none."""
    head = {"Host": world.HOST, "Request-Id": "ask-%d" % next(_numbers),
            "Deadline-Ms": "2000", **(fields or {})}

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(http1.message("%s %s HTTP/1.1" % (method, path), head,
                                       body))
            first, fields = await http1.read_head(reader)
            await http1.read_body(reader, fields)
            return int(first.split(" ")[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, http1.Cut, asyncio.TimeoutError):
        return 0


_numbers = itertools.count(1)


class CrowdWorld(world.World):
    def put_config(self, timeout_factor=1.0, idle_s=60):
        super().put_config(timeout_factor, idle_s)
        self.config["limits"] = LIMITS
        self.store.put("op", "config", self.config)


class SmallGateway(world.Gateway):
    def write_settings(self, slack=50):
        super().write_settings(slack)
        with open(self.file) as f:
            settings = world.json.load(f)
        settings.update(memory_mb=GATEWAY_MEMORY_MB,
                        max_descriptors=GATEWAY_DESCRIPTORS)
        with open(self.file, "w") as f:
            world.json.dump(settings, f)


class GatewayTarget:
    """One gateway; ordinary requests go to its clients' port, as the crowd's
    may go to any port."""

    memory_mb = GATEWAY_MEMORY_MB
    descriptors = GATEWAY_DESCRIPTORS
    # The crowd's size; silent ones are more than there are descriptors.
    count, silent_count = 400, 1100
    paths = {"front": b"/look/x", "forward": b"/look/x", "ready": b"/readyz",
             "directory": b"/resolve", "admin": b"/metrics", "peer": b""}

    def __init__(self, port, seed, program):
        self.world = CrowdWorld(seed, gateways=1, plain=2, engines=1)
        self.port_name = port
        self.path = self.paths[port]
        has_routes = port in ("front", "forward")
        self.answered_path = b"/none" if has_routes else self.path
        self.program = program

    async def start(self):
        world.Gateway, kept = SmallGateway, world.Gateway
        world.PROGRAM = self.world.earlier_program = self.program
        try:
            await self.world.start()
        finally:
            world.Gateway = kept
        self.gateway = self.world.gateways[0]
        self.port = getattr(self.gateway, self.port_name)
        self.process = self.gateway.process
        self.ports = [self.gateway.front, self.gateway.forward,
                      self.gateway.ready, self.gateway.directory,
                      self.gateway.admin, self.gateway.peer]

    async def ask_all(self):
        """Statuses of ordinary requests, by what they are."""
        return {
            "GET": await ask(self.gateway.front, "GET", "/look/a"),
            "POST": await ask(self.gateway.front, "POST", "/look/a", BODY),
            "readiness": await ask(self.gateway.ready, "GET", "/readyz"),
            "directory": await ask(self.gateway.directory, "GET", "/resolve"),
            "metrics": await ask(self.gateway.admin, "GET", "/metrics")}

    def log(self):
        return self.gateway.log

    async def stop(self, keep):
        self.world.stop()
        await asyncio.gather(*(u.gone() for u in self.world.all_upstreams))
        if not keep:
            shutil.rmtree(self.world.directory)


# Ports of processes that the system lets open fewer than their settings say.
FEW_DESCRIPTORS = {"entry-few-descriptors": 400}


class FleetTarget:
    """One instance with its stand-ins; the crowd calls one process of it."""

    memory_mb = MACHINE_MEMORY_MB
    descriptors = 20_000
    count = silent_count = 600
    names = {"entry": ("entry-0", "entry", b"/v1/entries"),
             "entry-admin": ("entry-0", "entry_admin", b"/health"),
             "fleet-admin": ("fleet-0", "fleet_admin", b"/health"),
             "platform": ("platform", "platform", b"/v1/instances"),
             "engine": ("engine-0", "engine", b"/v1/state"),
             "service": ("service-0", "service", b"/health"),
             "entry-few-descriptors": ("entry-0", "entry", b"/v1/entries")}

    def __init__(self, port, *_):
        if port in FEW_DESCRIPTORS:
            self.descriptors = FEW_DESCRIPTORS[port]
        self.port_name = port
        self.path = self.answered_path = self.names[port][2]

    def address(self, name):
        value = getattr(self.fleet, name)
        return value if isinstance(value, str) else value(0)

    def port_of(self, name):
        return int(self.address(name).rsplit(":", 1)[1])

    async def start(self):
        # LocalFleet's offsets lie within the block.
        self.fleet = local_fleet.LocalFleet(
            base=free_ports(1)[0] // 500 * 500 + 3000, instances=1, engines=1,
            services=1)
        with descriptor_limit(self.descriptors):
            await asyncio.to_thread(self.fleet.start_all)
        self.fleet.apply(0, self.fleet.first_note())
        process, name, _ = self.names[self.port_name]
        self.process = self.fleet.processes[process]
        self.port = self.port_of(name)
        self.ports = [self.port_of(n) for p, n, _ in self.names.values()
                      if p == process]

    async def ask_all(self):
        statuses = {name: await ask(self.port_of(attribute), "GET",
                                    path.decode())
                    for name, (_, attribute, path) in self.names.items()}
        statuses["booking"] = await ask(
            self.port_of("entry"), "POST", "/v1/services/booking/book", b"slot")
        return statuses

    def log(self):
        return self.fleet.path(self.names[self.port_name][0] + ".log")

    async def stop(self, keep):
        self.fleet.stop_all()
        if not keep:
            shutil.rmtree(self.fleet.directory)


def raise_descriptor_limit():
    """For crowds as large as the limits allow."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


@contextlib.contextmanager
def descriptor_limit(count):
    """Processes that are started meanwhile may open so many descriptors."""
    before, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, most), most))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (before, most))


class Watch(threading.Thread):
    """The most that a process held while it is watched."""

    def __init__(self, process, ports):
        super().__init__(daemon=True)
        self.process, self.ports = process, ports
        self.most = Held()
        self.descriptors = 0
        # The process was ended, for the machine's sake.
        self.given_up = False
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.is_set() and self.process.poll() is None:
            try:
                held = held_by(self.process.pid, self.ports)
            except (OSError, IndexError):
                return
            self.most = max(self.most, held, key=lambda h: h.total)
            self.descriptors = max(self.descriptors, held.descriptors)
            time.sleep(0.05)

    def stop(self):
        self.stopping.set()
        self.join()
