#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python without dependencies, run by the deploy file's .venv.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/stand_ins_2.py review/cold_partner_2.py review/6 review/7 review/8 review/9 review/10
