#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are Python programs that use only the
# standard library, so there is nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
