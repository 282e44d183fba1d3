"""Messages between lease holders and the leader.

The field names are the keys of the encoded frames between nodes: `duty` is a leased role, `owner` its holder,
`life` the nonce of the holder's process. Modules of this package may not import the encoder, which could map
other names to these keys.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """A holder's request to renew its leases."""

    owner: str
    life: int
    number: int  # number of the request, repeated by the reply
    duties: tuple[tuple[str, int], ...]  # roles and epochs


@dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """The leader's reply with the renewed leases."""

    number: int
    duties: tuple[tuple[str, int], ...]  # roles and epochs


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """The leader's request to a live holder to release a role."""

    duty: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The holder's reply: it performs no further operation under the epoch."""

    duty: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseSurrendered:
    """A holder's notice that it has released a role without a request, for example on shutdown."""

    duty: str
    epoch: int
