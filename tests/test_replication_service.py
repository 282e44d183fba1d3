"""The replication service of one courier, step by step."""

from __future__ import annotations

from unittest.mock import Mock

from winchspan.cluster.replication_service import ReplicationService


# Guards against deliveries that whoever continues a journal hears of only when a connection is opened anew.
def test_release_of_a_journal_tells_of_late_deliveries_at_once():
    service = Mock()
    service._counters.own_messages_taken_over = service._engine.held_count = 0
    ReplicationService._release_journal(service)
    steps = [name for name, _, _ in service.mock_calls]
    assert steps.index("_late_deliveries.discard_replicated") < steps.index("_late_deliveries.announce")
    assert steps.index("_stream.drop") < steps.index("_late_deliveries.announce"), "it is known to be lost"
