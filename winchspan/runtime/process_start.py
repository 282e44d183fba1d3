"""The start time of this process; imported before all other modules so that it is as early as possible."""

from time import monotonic

PROCESS_START_MS = monotonic() * 1_000.0  # a reading of the real monotonic clock
