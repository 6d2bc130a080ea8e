#!/bin/sh
# Builds what the scripts of the cases start.  Their stand-ins are programs for
# Python's standard library (review/lib and utils/soak_lib), so nothing has to be
# compiled; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
python3 -c "import sys; sys.path[:0] = ['utils', 'review/lib']; import deployment"
