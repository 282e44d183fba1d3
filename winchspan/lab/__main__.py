"""Runs the experiment tool, `winchspan.experiments`."""

import runpy

if __name__ == "__main__":
    runpy.run_module("winchspan.experiments", run_name="__main__", alter_sys=True)
