"""Leased roles of the cluster: each role has at most one holder at a time, under an increasing epoch."""
