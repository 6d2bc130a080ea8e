"""Crowds of clients that don't behave, at real processes on loopback.

A play starts one process, has a crowd call one of its ports, and looks at what
doesn't depend on the machine's speed: the process lives; what it holds, in its
memory and in the kernel's buffers, stays within its machine's memory; its open
descriptors stay within their limit; ordinary requests are answered with success
beside the crowd, while it holds still or sends on, and after it.  A refused one
comes back, up to a number of times.

Plays are named PORT/KIND; `mixed` draws a kind for each connection.
"""

import argparse
import asyncio
import os
import re
import signal
import sys

from crowd_lib import crowds, targets
from soak_lib import world

ROOT = world.ROOT
# Time for which a crowd that sends on does so before a caller comes.
PRESSED_S = 3.0
# How often an ordinary caller comes, and the pause between its tries.
TRIES = 20
RETRY_S = 0.25
# A process that holds so many times its memory is ended, for the machine's sake.
HOPELESS = 4

GATEWAY_PORTS = list(targets.GatewayTarget.paths)
FLEET_PORTS = list(targets.FleetTarget.names)
HTTP_PORTS = [port for port in GATEWAY_PORTS + FLEET_PORTS
              if port != "peer" and port not in targets.FEW_DESCRIPTORS]
# Plays of one kind alone.
OTHERS = (["peer/%s" % kind for kind in crowds.PEER_KINDS] +
          ["%s/silent" % port for port in targets.FEW_DESCRIPTORS])
# In CI.
SOME = ["%s/mixed" % port for port in HTTP_PORTS] + OTHERS + [
    "front/many-fields", "front/answers-unread", "front/silent",
    "front/length-stops-short", "front/bytes-without-end",
    "directory/chunks-without-end", "ready/silent",
    "entry/chunk-stops-short"]
ALL = ["%s/%s" % (port, kind) for port in HTTP_PORTS
       for kind in ["mixed"] + list(crowds.KINDS)] + OTHERS


def known_red():
    """Names of plays listed in KNOWN-RED.txt, one "crowd: NAME" line each."""
    with open(os.path.join(ROOT, "KNOWN-RED.txt")) as f:
        return set(re.findall(r"^crowd:\s*(\S+)", f.read(), re.M))


async def ordinary_callers(target, when):
    """Returns the faults of requests that were not answered in any try."""
    missing = {}
    for attempt in range(TRIES):
        statuses = await target.ask_all()
        if attempt == 0:
            missing = dict(statuses)
        for what, status in statuses.items():
            if what in missing:
                missing[what] = status
            if status == 200:
                missing.pop(what, None)
        if not missing:
            break
        if target.process.poll() is not None:
            return []
        await asyncio.sleep(RETRY_S)
    return ["%s, %s: not answered in %d tries, last status %s" %
            (when, what, TRIES, status) for what, status in missing.items()]


async def press(target, crowd, watch):
    """Until the crowd has sent its beginning, and a time longer."""
    for _ in range(int(PRESSED_S / 0.05) * 3):
        if crowd.all_sent.is_set():
            break
        await asyncio.sleep(0.05)
    for _ in range(int(PRESSED_S / 0.05)):
        await asyncio.sleep(0.05)
        if watch.most.total > HOPELESS * target.memory_mb:
            watch.given_up = True
            target.process.kill()
            return


async def play(name, seed, count, program):
    port, kind = name.split("/")
    make = (targets.GatewayTarget if port in GATEWAY_PORTS
            else targets.FleetTarget)
    target = make(port, seed, program)
    faults = []
    await target.start()
    watch = targets.Watch(target.process, target.ports)
    try:
        faults += await ordinary_callers(target, "before")
        watch.start()
        size = target.silent_count if kind == "silent" else target.count
        crowd = crowds.Crowd(target.port, crowds.of_kind(
            kind, target, count or size, seed))
        crowd.start()
        await press(target, crowd, watch)
        faults += await ordinary_callers(target, "beside")
        crowd.stop()
        faults += await ordinary_callers(target, "after")
        await asyncio.sleep(0.2)
        watch.stop()
        faults += judge(target, watch)
    finally:
        await target.stop(keep=bool(faults))
    most = watch.most
    print("%s %s: %d connections, %d closed by the process; at most %.0f MB "
          "resident with %.0f unread, of %d; %d descriptors" %
          ("fail" if faults else "good", name, crowd.size, crowd.closed,
           most.resident, most.unread, target.memory_mb, watch.descriptors))
    for fault in faults:
        print("  " + fault)
    if faults:
        print("  log: " + target.log())
    sys.stdout.flush()
    return not faults


def judge(target, watch):
    faults = []
    if watch.given_up:
        faults.append("ended by this play, at %d times its memory" % HOPELESS)
    elif target.process.poll() is not None:
        faults.append("ended: status %s" % target.process.returncode)
    if watch.most.total > target.memory_mb:
        faults.append("over its memory: %.0f MB of %d" %
                      (watch.most.total, target.memory_mb))
    if watch.descriptors > target.descriptors:
        faults.append("over its descriptors: %d of %d" %
                      (watch.descriptors, target.descriptors))
    return faults


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plays", nargs="*", help="PORT/KIND; without, those of CI")
    parser.add_argument("--all", action="store_true")
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--seed", type=int, default=61)
    parser.add_argument("--count", type=int, default=0,
                        help="another number of connections")
    parser.add_argument("--program", default=world.PROGRAM,
                        help="the gateway to play against")
    args = parser.parse_args()
    targets.raise_descriptor_limit()
    names = args.plays or (ALL if args.all else SOME)
    if args.list:
        print("\n".join(names))
        return 0
    red = known_red()
    good = failed = 0
    for name in names:
        kept = asyncio.run(play(name, args.seed, args.count, args.program))
        if not kept and name in red:
            print("KNOWN-RED failed as listed: " + name)
            continue
        if kept and name in red:
            print("KNOWN-RED passes now, take it off the list: " + name)
        good += kept
        failed += not kept
    print("%d crowds borne, %d not" % (good, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
