"""Bounded model checkers of the couriers' state machines for leases and replication.

`checker` explores all runs of a model within given bounds. There are two models: `leases` (consensus, leases
and fencing) and `replication` (replicated journals and takeover). Both use the model network in `network`.
"""
