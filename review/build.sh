#!/bin/sh
# The stand-ins are Python files that use the standard library only: there is nothing to build.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
