"""Upgrades a serving courier: a new process takes over its state. The design is in `docs/upgrade.md`."""
