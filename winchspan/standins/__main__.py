"""Runs `python -m winchspan.fakes` under its former name."""

import runpy

if __name__ == "__main__":
    runpy.run_module("winchspan.fakes", run_name="__main__", alter_sys=True)
