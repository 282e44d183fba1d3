"""The auditor: checks the platform's rules on all traffic of the couriers' sockets.

- `rules`: the rules, and the log of violations.
- `records`, `message_registry`: the state of couriers, endpoints and messages as observed on the sockets.
- `client_connection`, `outgoing_connection`: read the connections with the parsers of `wire_parsers`.
- `submissions`, `calls`, `notifications`, `endpoint_list`: check the requests and responses that were read.
- `auditor`: connects these parts to the network.
"""
