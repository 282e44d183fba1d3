"""Encodes text from JSON as bytes: it may contain lone surrogates, which MessagePack rejects."""

from __future__ import annotations


def encode_text(text: str) -> bytes:
    """Return the UTF-8 encoding of a text, including lone surrogates."""
    return text.encode("utf-8", "surrogatepass")


def decode_text(encoded: bytes) -> str:
    """Decode the result of `encode_text`; raises UnicodeDecodeError."""
    return encoded.decode("utf-8", "surrogatepass")
