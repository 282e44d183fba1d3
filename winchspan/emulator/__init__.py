"""Alias of `winchspan.simulation`, so that `python -m winchspan.emulator` continues to work."""
