#!/bin/sh
# The stand-ins are Python sources of this folder and need no build; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -P - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
