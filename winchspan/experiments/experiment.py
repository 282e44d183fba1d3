"""The inputs of a run, and the address under which its result is stored."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Final

import msgspec

from winchspan.fakes.partner import PartnerSettings
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.simulation.environment import Environment

MS_PER_SECOND: Final = 1_000.0
ADDRESS_DIGITS: Final = 32  # hexadecimal digits, 128 bits of the hash
PACKAGE_DIRECTORY: Final = Path(__file__).parent.parent


@dataclass(frozen=True, slots=True)
class Point:
    """One point of a sweep: all inputs of a run except the code.

    Attributes:
        variant: name of the variant.
        operator_text: content of the variant's operator file; empty: all optional features are off.
        load: offered load as a multiple of the rate that the partner lists.
        courier_count: number of couriers that share the load.
        seed: seed of the run's random number generator.
        duration_seconds: time during which clients submit messages.
        partner: behaviour of the partner that fails.
        environment: the network and the injected faults.
    """

    variant: str
    operator_text: str
    load: float
    courier_count: int
    seed: int
    duration_seconds: float
    partner: PartnerSettings
    environment: Environment

    def scenario(self) -> Scenario:
        """Return the scenario that the emulator runs."""
        return storm_scenario(
            self.load,
            self.courier_count,
            partner=self.partner,
            duration_ms=self.duration_seconds * MS_PER_SECOND,
        )

    def address(self, code_hash: str) -> str:
        """Return the name under which the result is stored: a hash of code, scenario and seed."""
        document = msgspec.json.encode(self._address_fields())
        return sha256(code_hash.encode() + document).hexdigest()[:ADDRESS_DIGITS]

    def _address_fields(self) -> dict[str, object]:
        """Return the hashed fields; stored addresses depend on their names and order."""
        return {
            "variant": self.variant,
            "operator": self.operator_text,
            "load": self.load,
            "couriers": self.courier_count,
            "seed": self.seed,
            "seconds": self.duration_seconds,
            "partner": self.partner,
            "around": self.environment,
        }


@dataclass(frozen=True, slots=True)
class Experiment:
    """A parsed experiment file.

    Attributes:
        name: name of the file, without its directory and suffix.
        text: content of the file.
        points: all points of the sweep.
    """

    name: str
    text: str
    points: tuple[Point, ...]


def hash_code() -> str:
    """Return a hash of the code that a run executes: the package except the experiment tool."""
    digest = sha256()
    for path in sorted(PACKAGE_DIRECTORY.rglob("*.py")):
        if path.parent != Path(__file__).parent:
            name = path.relative_to(PACKAGE_DIRECTORY).as_posix()
            digest.update(name.encode() + b"\0" + path.read_bytes() + b"\0")
    return digest.hexdigest()
