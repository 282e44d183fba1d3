"""Dead letters: stores undelivered messages, shows them to operators, and redelivers them by rule.

Decisions (`records`, `evidence`, `policy`, `eviction`) do no I/O and read no clock. The store is a SQLite
file that a dedicated thread writes (`store_worker`). The design is in `docs/undelivered.md`.
"""
