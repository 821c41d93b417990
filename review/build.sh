#!/usr/bin/env bash
# Builds every stand-in that a script starts. They are all Python, in review/stand_ins.py and the
# case.py files, so this only checks that the interpreter can compile them.
set -euo pipefail
cd "$(dirname "$0")"
for each in stand_ins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$each"
done
