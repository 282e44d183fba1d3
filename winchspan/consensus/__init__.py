"""Raft consensus of the cluster on a few kilobytes of replicated state."""
