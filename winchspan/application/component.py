"""The interface of an optional component of a courier."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from winchspan import api

if TYPE_CHECKING:
    from winchspan.delivery.engine import DeliveryEngine

OperatorOptions = Mapping[str, Mapping[str, Any]]  # the operator's file: section to key to value


class Component:
    """An optional part of a courier; all methods are inert by default.

    The application calls each method on all components, in the order in which they were created:
    `attach_engine` once the delivery engine exists, `prepare` before recovery, `start` after it, `on_serving`
    once clients are admitted, `reconfigure` at each change of the settings, and `close` at the end.
    """

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Set the delivery engine, which is built after the components that provide its ports."""

    def prepare(self) -> None:
        """Start services that must be available before recovery.

        Raises:
            OSError: if a socket cannot be opened.
        """

    def on_state_restored(self, overload_control: api.OverloadControl) -> None:
        """Continue after an upgrade, with the overload control that is now in force."""

    async def start(self) -> None:
        """Start the component after recovery.

        Raises:
            OSError: if a file or a socket cannot be opened.
        """

    def on_serving(self) -> None:
        """Start services that require that clients are admitted."""

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""

    def reload_options(self, operator: OperatorOptions) -> None:
        """Apply the options of the reloaded operator's file.

        Raises:
            ConfigError: if they cannot be applied; the component then continues unchanged.
        """

    def request_stop(self) -> bool:
        """Prepare for a stop; return whether this component completes the stop itself."""
        return False

    @property
    def is_handing_over(self) -> bool:
        """Whether a hand-over is in progress, during which the courier does not serve."""
        return False

    @property
    def is_busy(self) -> bool:
        """Whether a graceful shutdown should wait for this component."""
        return False

    def status(self) -> dict[str, Any]:
        """Return the component's entries of the status document."""
        return {}

    def metrics(self) -> dict[str, int]:
        """Return the component's gauges and counters by metric name."""
        return {}

    def close(self) -> None:
        """Release all resources at the end of the process."""

    def crash(self) -> None:
        """Release open files as when the process is killed; for emulated machines."""
