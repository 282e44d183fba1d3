#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. ../../.venv/bin/python play.py &
play=$!
trap 'kill "$play"' TERM INT
wait "$play"
code=$?
trap - TERM INT
if kill -0 "$play" 2>/dev/null; then # a signal has ended the first wait
    wait "$play"
    code=$?
fi
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
