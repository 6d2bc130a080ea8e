"""Runs all test programs and judges their failures against KNOWN-RED.txt."""

import concurrent.futures
import glob
import os
import re
import subprocess
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# Real sockets and signals: these run one after another, behind the others.
SERIAL = {"ProcessTests"}
TIMEOUT_S = 900
# Characters of output that are shown of a failed test, and of its program.
MAX_OUTPUT = 12000


def known_red():
    """Names of tests listed in KNOWN-RED.txt, one "test: NAME" line each."""
    names = {}
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if os.path.exists(path):
        for line in open(path):
            match = re.match(r"test:\s*(\S+)", line)
            if match:
                names[match.group(1)] = line.strip()
    return names


def run(binary):
    env = dict(os.environ, RC_PARAMS="seed=20261204")
    try:
        done = subprocess.run([binary], stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, env=env,
                              timeout=TIMEOUT_S)
        output, code = done.stdout.decode(errors="replace"), done.returncode
    except subprocess.TimeoutExpired as e:
        output, code = (e.stdout or b"").decode(errors="replace"), -1
    passed = set(re.findall(r"\[       OK \] (\S+)", output))
    failed = set(re.findall(r"\[  FAILED  \] (\S+?)(?:,| \(|$)", output, re.M))
    failed = {name for name in failed if "." in name}
    if code != 0 and not failed:
        failed = {os.path.basename(binary) + ".exit_status_%d" % code}
    return binary, output, passed, failed


def output_of(name, output):
    """What one test has written; a failure is often long before the end."""
    start = output.rfind("[ RUN      ] %s\n" % name)
    if start < 0:
        return ""
    end = output.find("[  FAILED  ] %s" % name, start)
    return output[start:end if end >= 0 else len(output)]


def main():
    binaries = sorted(glob.glob(os.path.join(ROOT, "build/unittests/*Tests")))
    quick = [b for b in binaries if os.path.basename(b) not in SERIAL]
    slow = [b for b in binaries if os.path.basename(b) in SERIAL]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run, quick))
    results += [run(binary) for binary in slow]
    red = known_red()
    passed = failed = excused = 0
    for binary, output, ok, bad in results:
        passed += len(ok)
        unexpected = bad - set(red)
        excused += len(bad & set(red))
        failed += len(unexpected)
        for line in re.findall(r"^proof: .*$", output, re.M):
            print(line)
        if unexpected:
            print("==== %s" % os.path.basename(binary))
            for name in sorted(unexpected):
                print(output_of(name, output)[-MAX_OUTPUT:])
            print(output[-MAX_OUTPUT:])
        for name in sorted(bad & set(red)):
            print("KNOWN-RED failed as listed: %s" % red[name])
        for name in sorted(ok & set(red)):
            print("KNOWN-RED passes now, take it off the list: %s" % name)
    if excused:
        print("%d known-red tests failed as listed" % excused)
    print("%d passed, %d failed" % (passed, failed))
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
