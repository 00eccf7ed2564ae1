#!/bin/sh
# The stand-ins are Python files without dependencies; this checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PYTHON'
import pathlib
import sys

for path in sorted(pathlib.Path(".").rglob("*.py")):
    try:
        compile(path.read_bytes(), str(path), "exec")
    except SyntaxError as error:
        sys.exit(f"{path}: {error}")
PYTHON
