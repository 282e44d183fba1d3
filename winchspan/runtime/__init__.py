"""Basic services for all components: clock, timers, poll monitor, system access, logging and metrics."""
