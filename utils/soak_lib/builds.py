"""Gateways of other commits."""

import os
import subprocess
import sys
import tempfile

from . import world

KEPT = "corianderlink-beside-"


def run(command, failure):
    done = subprocess.run(command, shell=True, cwd=world.ROOT, text=True,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
    if done.returncode != 0:
        sys.exit("soak: %s\n%s" % (failure, done.stdout[-2000:]))
    return done.stdout.strip()


def program_of(commit):
    """The gateway of that commit; built at its first use and kept."""
    name = run("git rev-parse --verify --short=12 '%s^{commit}'" % commit,
               "no commit %s in this repository" % commit)
    folder = os.path.join(tempfile.gettempdir(), KEPT + name)
    program = os.path.join(folder, "build", "corianderlink-gateway")
    if os.path.exists(program):
        return program
    print("building the gateway of %s in %s" % (name, folder), flush=True)
    os.makedirs(folder, exist_ok=True)
    run("git archive %s | tar x -C %s" % (name, folder), "no archive")
    run("launcher=$(command -v ccache >/dev/null && "
        "echo -DCMAKE_CXX_COMPILER_LAUNCHER=ccache); "
        "export CCACHE_BASEDIR={0} CCACHE_NOHASHDIR=1; "
        "cmake -S {0} -B {0}/build -G Ninja -DCMAKE_BUILD_TYPE=Release "
        "-DBUILD_TESTING=OFF $launcher && "
        "ninja -C {0}/build corianderlink-gateway".format(folder),
        "%s does not build" % name)
    return program
