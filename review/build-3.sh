#!/usr/bin/env bash
# Checks what the cases 11 to 15 start beside the build of the deploy file: their
# stand-ins are Python files of this folder, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in glob.glob("lib3/*.py") + glob.glob("1[1-5]/*.py"):
    with open(path) as f:
        compile(f.read(), path, "exec")
PY
