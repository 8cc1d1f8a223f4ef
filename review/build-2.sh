#!/usr/bin/env bash
# Prepares the stand-ins of the cases from 6 on. They are Python and need no build, only the interpreter
# and its standard library; this checks that each file is valid.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - standins-2/*.py [0-9]*/case.py <<'PY'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for path in sys.argv[1:]:
    with open(path) as f:
        ast.parse(f.read(), path)
PY
