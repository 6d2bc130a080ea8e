"""Measures a local deployment; prints JSON lines.  See utils/measure."""

import json
import os
import statistics
import subprocess
import sys
import time
import urllib.request

from local_fleet import BIN, LocalFleet, get, post, wait


def cpu_seconds(process):
    """User and system time of a child process, from /proc."""
    with open("/proc/%d/stat" % process.pid) as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(process):
    with open("/proc/%d/statm" % process.pid) as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def load(addresses, rate, duration, max_tokens, seed, direct=False):
    args = [os.path.join(BIN, "corianderlink-load"), "--rate", str(rate),
            "--duration-s", str(duration), "--max-tokens", str(max_tokens),
            "--seed", str(seed), "--bulk", "0"]
    for address in addresses:
        args += ["--entry", address]
    if direct:
        args.append("--direct")
    done = subprocess.run(args, stdout=subprocess.PIPE, timeout=duration + 60)
    return json.loads(done.stdout)


def measure_entry():
    """The entry's added time to first token, and its processor time."""
    fleet = LocalFleet(base=18000, instances=1, engines=6, services=1,
                       engine_args=["--max-batch", "96", "--step-ms", "10",
                                    "--prefill-tokens-per-s", "1000000"])
    try:
        fleet.start_all()
        wait(lambda: fleet.apply(0, fleet.first_note())[0] == 0, 20, "note")
        wait(fleet.all_as_wanted, 60, "engines loaded")
        engines = [fleet.engine(i) for i in range(6)]
        chat = {"model": "model", "max_tokens": 2,
                "messages": [{"role": "user", "content": "x"}]}
        wait(lambda: post(fleet.entry(0), "/v1/chat/completions",
                          chat)[0] == 200, 10, "entry serves")
        added = []
        whole = True
        entry = fleet.processes["entry-0"]
        for turn in range(3):
            direct = load(engines, 140, 8, 207, turn, direct=True)
            before = cpu_seconds(entry)
            through = load([fleet.entry(0)], 140, 8, 207, turn)
            used = cpu_seconds(entry) - before
            tokens = through["tokens_per_s"] * 8
            whole = whole and through["served"] == through["sent"]
            added.append(through["first_token_ms"]["p95"] -
                         direct["first_token_ms"]["p95"])
            print(json.dumps({
                "measure": "entry", "turn": turn,
                "direct_first_token_ms": direct["first_token_ms"],
                "entry_first_token_ms": through["first_token_ms"],
                "added_p95_ms": added[-1],
                "served": through["served"], "sent": through["sent"],
                "refused": through["refused"], "failed": through["failed"],
                "wrong": through["wrong"],
                "tokens_per_s": through["tokens_per_s"],
                "entry_core_share": used / 8,
                "us_per_token": 1e6 * used / max(tokens, 1),
                "ms_per_request": 1e3 * used / max(through["served"], 1),
                "resident_mb": resident_mb(entry)}), flush=True)
        print(json.dumps({"measure": "entry", "bound_ms": 2,
                          "median_added_p95_ms": statistics.median(added),
                          "all_served": whole,
                          "pass": whole and statistics.median(added) <= 2}))
    finally:
        fleet.stop_all()


def metric(address, name):
    _, body = get(address, "/metrics")
    for line in body.splitlines():
        if line.startswith("corianderlink_" + name + " "):
            return float(line.split()[1])
    return 0.0


def measure_peers():
    """Control cost of idle processes by number of peers, full mesh."""
    window_s = 6
    for instances in (2, 4, 6, 9):
        fleet = LocalFleet(base=18500, instances=instances, engines=1,
                           services=1)
        try:
            fleet.start_all()
            wait(lambda: fleet.apply(0, fleet.first_note())[0] == 0, 20, "note")
            wait(fleet.all_as_wanted, 60, "engine loaded")
            for kind, admin in (("entry", fleet.entry_admin(0)),
                                ("fleet", fleet.fleet_admin(0))):
                process = fleet.processes[kind + "-0"]
                cpu = cpu_seconds(process)
                sent = metric(admin, "peer_bytes_sent_total")
                received = metric(admin, "peer_bytes_received_total")
                time.sleep(window_s)
                print(json.dumps({
                    "measure": "peers", "kind": kind,
                    "peers": 2 * instances - 1,
                    "core_share": (cpu_seconds(process) - cpu) / window_s,
                    "sent_bytes_per_s": (metric(
                        admin, "peer_bytes_sent_total") - sent) / window_s,
                    "received_bytes_per_s": (metric(
                        admin, "peer_bytes_received_total") -
                        received) / window_s,
                    "resident_mb": resident_mb(process)}), flush=True)
        finally:
            fleet.stop_all()


def open_stream(address, body, marker=None):
    headers = {"Last-Event-ID": marker} if marker else {}
    req = urllib.request.Request(
        "http://%s/v1/chat/completions" % address,
        data=json.dumps(body).encode(), method="POST", headers=headers)
    return urllib.request.urlopen(req, timeout=30)


def next_marker(stream):
    """Reads up to the next event's id."""
    for line in stream:
        if line.startswith(b"id: "):
            return line[4:].decode().strip()
    return None


def measure_resume():
    """Time to the next token when an entry died: marker against none."""
    prompt_tokens = 20000
    fleet = LocalFleet(base=19000, instances=2, engines=4, services=1,
                       engine_args=["--cache-pieces", "0"])
    times = {"marker": [], "no engine in the marker": []}
    try:
        fleet.start_all()
        wait(lambda: fleet.apply(0, fleet.first_note())[0] == 0, 20, "note")
        wait(fleet.all_as_wanted, 60, "engines loaded")
        for turn in range(8):
            kind = list(times)[turn % 2]
            body = {"model": "model", "stream": True, "max_tokens": 400,
                    "messages": [{"role": "user", "content":
                                  "%d " % turn + "x" * 4 * prompt_tokens}]}
            wait(lambda: post(fleet.entry(0), "/v1/chat/completions",
                              {"model": "model", "max_tokens": 1,
                               "messages": [{"role": "user",
                                             "content": "w"}]})[0] == 200,
                 20, "entry serves")
            stream = open_stream(fleet.entry(0), body)
            for _ in range(20):
                marker = next_marker(stream)
            fleet.kill("entry-0")
            stream.close()
            if kind != "marker":
                marker = "gone~" + marker.split("~", 1)[1]
            begin = time.monotonic()
            next_marker(open_stream(fleet.entry(1), body, marker))
            times[kind].append(1000 * (time.monotonic() - begin))
            fleet.start_instance(0, parts=("entry",))
        print(json.dumps({"measure": "resume", "prompt_tokens": prompt_tokens,
                          "next_token_ms": times,
                          "median_ms": {k: statistics.median(v)
                                        for k, v in times.items()}}))
    finally:
        fleet.stop_all()


def measure_capacity():
    """Slopes of the real classes and messages, then of real processes."""
    subprocess.check_call([os.path.join(BIN, "corianderlink-experiment"),
                           "capacity"])
    measure_peers()


def main():
    measures = {"entry": measure_entry, "peers": measure_peers,
                "capacity": measure_capacity, "resume": measure_resume}
    if len(sys.argv) != 2 or sys.argv[1] not in measures:
        print("usage: utils/measure %s" % "|".join(measures))
        return 2
    measures[sys.argv[1]]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
