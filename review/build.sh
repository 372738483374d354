#!/bin/bash
# Builds the stand-ins of the cases. They are Python files that need no library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
