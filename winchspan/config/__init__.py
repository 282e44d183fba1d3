"""The platform's configuration, its settings and transitions between them, and the operator's file."""
