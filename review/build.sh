#!/usr/bin/env bash
# The stand-ins of these cases are Python scripts without dependencies: nothing is compiled. Checks that
# the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys

assert sys.version_info >= (3, 8), "python3 of version 3.8 or later is needed"
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
    print("checked", path)
PY
