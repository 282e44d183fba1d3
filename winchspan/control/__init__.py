"""The control socket: commands to a running courier over a Unix-domain socket (`docs/control.md`)."""
