"""The emulator: runs unchanged couriers in virtual time on an emulated network.

- `loop`: an asyncio event loop whose clock jumps to the next deadline.
- `network`, `links`: carry bytes between hosts, with delays and faults.
- `machine`, `incarnation`: a host with clock and disk, and a process on it.
- `environment`, `emulation`: the faults of a run, and the run of a scenario with them.
- `cluster`: a fleet of couriers.
- `audit`: checks the platform's rules on all network traffic.

Two runs with the same seed exchange the same bytes at the same virtual times.
"""
