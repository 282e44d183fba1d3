"""Fakes of outside parties (partners, clients, discovery) and rehearsals that run couriers against them.

The models in `partner` and `clients` do no I/O. A clock and timers drive them. `rehearsal_in_process` runs
them with real delivery engines in virtual time. `rehearsal` runs them behind sockets on loopback, with
courier processes. The courier itself imports nothing from this package.
"""
