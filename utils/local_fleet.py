"""Starts stand-ins and instances of corianderlink on loopback addresses."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

BIN = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "build")
TOKEN = "local-admin-token"
ZONES = ["zone-a", "zone-b", "zone-c"]


class LocalFleet:
    """Processes on 127.0.0.1 with ports from `base`."""

    def __init__(self, base=17000, instances=4, engines=6, services=3,
                 settings=None, engine_args=()):
        self.base = base
        self.instance_count = instances
        self.engine_count = engines
        self.service_count = services
        self.extra_settings = settings or {}
        self.engine_args = list(engine_args)
        self.directory = tempfile.mkdtemp(prefix="corianderlink-")
        self.processes = {}

    # Addresses.
    def _at(self, offset):
        return "127.0.0.1:%d" % (self.base + offset)

    @property
    def platform(self):
        return self._at(0)

    def engine(self, i):
        return self._at(100 + i)

    def service(self, i):
        return self._at(200 + i)

    def entry(self, i):
        return self._at(300 + i)

    def entry_admin(self, i):
        return self._at(320 + i)

    def fleet_admin(self, i):
        return self._at(340 + i)

    # Files.
    def path(self, name):
        return os.path.join(self.directory, name)

    def write(self, name, value):
        with open(self.path(name), "w") as f:
            f.write(value if isinstance(value, str) else json.dumps(value))
        return self.path(name)

    def instance_row(self, i):
        return {"id": "i%d" % i, "zone": ZONES[i % 3], "entry": self.entry(i),
                "entry_peer": self._at(310 + i),
                "fleet_peer": self._at(330 + i)}

    def settings_file(self, i):
        row = self.instance_row(i)
        settings = {
            "deployment": "local", "instance": row["id"], "zone": row["zone"],
            "platform": {"address": self.platform},
            "peer_key_file": "peer.key", "admin_token_file": "admin.token",
            "entry": {"listen": row["entry"], "peer": row["entry_peer"],
                      "admin": self.entry_admin(i)},
            "fleet": {"peer": row["fleet_peer"],
                      "admin": self.fleet_admin(i)}}
        settings.update(self.extra_settings)
        return self.write("i%d.json" % i, settings)

    # Processes.
    def start(self, name, *args):
        log = open(self.path(name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.join(BIN, args[0])] + list(args[1:]),
            stdout=log, stderr=log)
        return self.processes[name]

    def start_instance(self, i, parts=("fleet", "entry")):
        for kind in parts:
            self.start("%s-%d" % (kind, i), "corianderlink-" + kind,
                       "--settings", self.settings_file(i))

    def start_all(self):
        subprocess.check_call([os.path.join(BIN, "corianderlinkctl"), "keygen",
                               self.path("peer.key")])
        self.write("admin.token", TOKEN)
        rows = [self.instance_row(i) for i in range(self.instance_count)]
        listed = self.write("instances.json", {"instances": rows})
        self.start("platform", "standin-platform", "--listen", self.platform,
                   "--instances", listed)
        for i in range(self.engine_count):
            self.start("engine-%d" % i, "standin-engine", "--listen",
                       self.engine(i), "--platform", self.platform,
                       *self.engine_args)
        for i in range(self.service_count):
            self.start("service-%d" % i, "standin-service", "--listen",
                       self.service(i))
        for i in range(self.instance_count):
            self.start_instance(i)
        for i in range(self.instance_count):
            wait(lambda i=i: get(self.entry(i), "/health")[0] == 200, 20,
                 "entry %d answers" % i)
            wait(lambda i=i: get(self.fleet_admin(i), "/health")[0] == 200, 20,
                 "fleet process %d answers" % i)
        for i in range(self.instance_count):
            wait(lambda i=i: len(self.ctl(i, "dump")[1]["peers"]) ==
                 2 * self.instance_count - 1, 20,
                 "fleet process %d hears its peers" % i)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    # Operators.
    def ctl(self, i, *args):
        done = subprocess.run(
            [os.path.join(BIN, "corianderlinkctl"), "--admin",
             self.fleet_admin(i), "--token-file", self.path("admin.token"),
             "--output", "json"] + list(args),
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=30)
        try:
            body = json.loads(done.stdout or b"null")
        except ValueError:
            body = done.stdout.decode()
        return done.returncode, body, done.stderr.decode()

    def engine_items(self, role="mixed", count=None):
        return {"e%d" % i: {"address": self.engine(i), "zone": ZONES[i % 3],
                            "role": role, "models": ["model"]}
                for i in range(count or self.engine_count)}

    def first_note(self, role="mixed"):
        return {"id": "first", "base_revision": 0, "added": {
            "models": {"model": {"weights": "model@1"}},
            "engines": self.engine_items(role),
            "services": {"booking": {
                "workers": [self.service(i)
                            for i in range(self.service_count)],
                "calls": [{"method": "POST", "path": "/book"},
                          {"method": "GET", "path": "/stock",
                           "idempotent": True}]}}}}

    def apply(self, i, note):
        return self.ctl(i, "note", "apply",
                        self.write("note-%s.json" % note["id"], note))

    def all_as_wanted(self):
        for i in range(self.engine_count):
            code, body = get(self.engine(i), "/v1/state")
            if code != 200 or "model" not in json.loads(body)["models"]:
                return False
        return True


def request(method, address, path, body=None, headers=None, timeout=30):
    """Returns status, headers and body; status 0 if there was no answer."""
    data = body if body is None or isinstance(body, bytes) else (
        body if isinstance(body, str) else json.dumps(body)).encode()
    req = urllib.request.Request("http://%s%s" % (address, path), data=data,
                                 method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(req, timeout=timeout) as r:
            return r.status, dict(r.headers), r.read().decode()
    except urllib.error.HTTPError as e:
        return e.code, dict(e.headers), e.read().decode()
    except OSError as e:
        return 0, {}, str(e)


def get(address, path):
    status, _, body = request("GET", address, path, timeout=5)
    return status, body


def post(address, path, body, headers=None, timeout=30):
    return request("POST", address, path, body, headers, timeout)


def wait(condition, seconds, what):
    """Waits until `condition` holds; fails after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (ValueError, KeyError, OSError):
            pass
        time.sleep(0.05)
    raise RuntimeError("not within %s s: %s" % (seconds, what))
