"""The command line, `python -m winchspan.cli`; the courier does not import this package."""
