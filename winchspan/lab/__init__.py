"""Alias package: `python -m winchspan.lab` runs the experiment tool under its established name."""
