r"""The protocol on the Unix socket between the old and the new process of one courier.

new: TAKE 1 FINGERPRINT\n
old: NO REASON\n, or a head (see HEAD), the state, and the descriptors by SCM_RIGHTS
new: READY\n, after it has received and decoded the state
old: YOURS\n, the commit: from then on only the new process serves
"""

from __future__ import annotations

from struct import Struct
from typing import Final

SOCKET_NAME: Final = "upgrade.sock"  # in the state directory
PROTOCOL_VERSION: Final = 1
HEAD: Final = Struct(">cQI")  # kind, bytes of the state, number of descriptors
STATE_KIND: Final = b"S"
READY_LINE: Final = b"READY\n"
COMMIT_LINE: Final = b"YOURS\n"
MAX_STATE_BYTES: Final = 32 << 20  # twelve times the size limit of the state directory
MAX_DESCRIPTOR_COUNT: Final = 4_096
DESCRIPTORS_PER_MESSAGE: Final = 100  # below the kernel's limit of 253 (SCM_MAX_FD)


def socket_path(directory_descriptor: int) -> str:
    """Return a short path of the socket, because socket paths are limited to 107 bytes."""
    return f"/proc/self/fd/{directory_descriptor}/{SOCKET_NAME}"
