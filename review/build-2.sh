#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start. Their stand-ins are in Python and need no
# build, so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
for each in review/stand_ins_2.py review/{6,7,8,9,10}/case.py; do
    [ ! -f "$each" ] || python3 -c "compile(open('$each', encoding='utf-8').read(), '$each', 'exec')"
done
