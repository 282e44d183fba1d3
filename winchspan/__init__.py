"""winchspan: a message courier and the scheduler of its deliveries to many destinations."""

from typing import TYPE_CHECKING, Any

from winchspan.runtime.process_start import PROCESS_START_MS as PROCESS_START_MS

if TYPE_CHECKING:
    from winchspan.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]


def __getattr__(name: str) -> Any:
    """Import an attribute on first use: a courier's start imports it later, at a lower cost (`__main__`)."""
    if name == "Scheduler":
        from winchspan.scheduling.scheduler import Scheduler

        return Scheduler
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
