"""One courier in two processes: a new version takes over from a serving one. `docs/upgrade.md` says how."""
