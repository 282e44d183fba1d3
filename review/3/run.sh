#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
here=$(unset CDPATH && cd "$(dirname "$0")" && pwd)
rm -f "$here/record.txt"
python="$here/../../.venv/bin/python"
test -x "$python" || { echo "no built environment: run the deploy file's build first"; exit 2; }
exec "$python" "$here/case.py"
