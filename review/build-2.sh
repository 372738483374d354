#!/bin/bash
# Builds what the scripts of review/4 to review/8 start: the project as the deploy file has it. The stand-ins are plain
# Python, so there is nothing to build of them; they are compiled once, in memory, to see that they can be.
set -euo pipefail
cd "$(dirname "$0")/.."
[ target/deps -nt requirements.txt ] || python3 -m pip install -q -U --target target/deps -r requirements.txt
for file in review/standins_2/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
