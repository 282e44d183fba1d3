"""Services of a cluster: they run consensus, leases and replication on sockets, timers and disks."""
