"""Alias package: keeps the command `python -m winchspan.standins` for rehearsals with processes."""
