#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start. Their stand-ins use only the standard
# library of Python, so it is enough that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for pattern in ("review/support2/*.py", "review/[6-9]/*.py", "review/10/*.py"):
    for path in sorted(Path(".").glob(pattern)):
        compile(path.read_text(), str(path), "exec")
PYTHON
