"""Submits one message: `python examples/submit.py HOST:PORT CLASS DEST BODY [KEY]`."""

from __future__ import annotations

import secrets
import socket
import sys


def encode_submit(
    class_name: str, destination: str, body: str, key: str = "0" * 16, deadline_ms: int = 5_000
) -> bytes:
    """Return a SUBMIT command as a RESP array of bulk strings."""
    attributes = f"c={class_name},d={deadline_ms},k={secrets.token_hex(8)},dest={destination}"
    arguments = [b"SUBMIT", key.encode(), secrets.token_hex(8).encode(), attributes.encode(), body.encode()]
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments
    )


def main() -> int:
    """Send the message, and print the reply."""
    if len(sys.argv) not in (5, 6):
        print(__doc__, file=sys.stderr)
        return 2
    host, _, port = sys.argv[1].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        class_name, destination, body, key = (*sys.argv[2:], "0" * 16)[:4]
        connection.sendall(encode_submit(class_name, destination, body, key))
        print(connection.makefile("rb").readline().decode().strip())
    return 0


if __name__ == "__main__":
    sys.exit(main())
