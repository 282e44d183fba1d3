"""State machines of journal replication: streams, replica sets, placement, takeover and claims."""
