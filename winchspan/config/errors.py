"""The base class of all configuration errors."""


class ConfigurationError(Exception):
    """A configuration is invalid; the message names the faulty place."""
