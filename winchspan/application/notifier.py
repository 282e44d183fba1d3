"""Passes the engine's final answers on to the queue of notifications to the platform."""

from __future__ import annotations

from collections.abc import Callable

from winchspan.net.notifications import Notification, NotificationQueue


class PlatformNotifier:
    """The engine's notifier: queues a notification to the platform for each final answer."""

    def __init__(self, queue: NotificationQueue, includes_reasons: bool) -> None:
        """Create a notifier.

        Args:
            queue: the notifications that the platform has not acknowledged yet.
            includes_reasons: whether notifications include a reason for people.
        """
        self.queue = queue
        self._includes_reasons = includes_reasons

    def notify(
        self,
        message_id: str,
        state: str,
        retry_after_ms: int,
        on_acknowledged: Callable[[], None],
        reason: str = "",
    ) -> None:
        """Queue a notification; `on_acknowledged` is called once it has been acknowledged."""
        text = reason if self._includes_reasons else ""
        self.queue.add(Notification(message_id, state, retry_after_ms, on_acknowledged, text))
