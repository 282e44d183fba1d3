"""Steps of the replication service of one courier."""

from __future__ import annotations

from unittest.mock import Mock

from winchspan.cluster.replication_service import ReplicationService


# Guards against late deliveries that are reported to the successor only on the next new connection.
def test_journal_release_reports_late_deliveries_at_once():
    service = Mock()
    service._counters.own_messages_taken_over = service._engine.held_count = 0
    ReplicationService._release_journal(service)
    steps = [name for name, _, _ in service.mock_calls]
    assert steps.index("_late_deliveries.discard_replicated") < steps.index("_late_deliveries.announce")
    assert steps.index("_stream.drop") < steps.index("_late_deliveries.announce"), (
        "the stream is closed first"
    )
