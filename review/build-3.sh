#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start. Their stand-ins are written in Python, with
# its standard library only, so there is nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import stand_ins_3'
