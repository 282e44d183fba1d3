"""`python -m winchspan.emulator`: runs `python -m winchspan.simulation`."""

import runpy

if __name__ == "__main__":
    runpy.run_module("winchspan.simulation", run_name="__main__", alter_sys=True)
