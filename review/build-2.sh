#!/bin/sh
# Stand-ins of cases 6 to 10 use Python's standard library alone, so nothing is built:
# this checks that the Python of the deploy file runs them.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c "
import sys
assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
import rig.case, rig.crowd
"
