"""Cluster membership and failure detection: SWIM with the Lifeguard extensions, without I/O."""
