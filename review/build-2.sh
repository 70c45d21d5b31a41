#!/usr/bin/env bash
# Checks that every stand-in that the scripts start can be compiled. They are Python programs of the
# standard library (3.11 or later), so there is nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for file in sorted(pathlib.Path(".").glob("lib-2/*.py")) + sorted(pathlib.Path(".").glob("*/play.py")):
    if file.parts[0] in ("lib-2", "6", "7", "8", "9", "10"):
        compile(file.read_text(), str(file), "exec")
PY
echo "the stand-ins are ready"
