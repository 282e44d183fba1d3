"""Periodic tasks that one member performs for the whole cluster: health checks and redelivery."""
