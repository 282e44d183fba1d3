"""The encoding of an environment, which is part of the address of stored experiment results."""

from __future__ import annotations

import msgspec
import pytest

from winchspan.experiments.experiment import Point
from winchspan.fakes.partner import PartnerSettings
from winchspan.simulation.environment import Environment, FaultKind, InjectedFault, LinkOverride
from winchspan.simulation.link import LinkProfile

FULL = Environment(
    LinkProfile(1.0, 2.0, 3.0, 0.25, 0.5),
    (LinkOverride("n0", "partner 7", LinkProfile()),),
    True,
    (
        InjectedFault(1_000.0, FaultKind.PARTITION, "n0", "partner 7", 4_000.0),
        InjectedFault(2.0, FaultKind.RELOAD, "n1"),
    ),
    (0.01,),
    (5.0,),
)
# Recorded by an earlier version, before the fields were renamed.
RECORDED_FULL = (
    b'{"way":{"latency":1.0,"jitter":2.0,"bandwidth":3.0,"loss":0.25,"doubled":0.5},'
    b'"ways":[["n0","partner 7",{"latency":0.2,"jitter":0.0,"bandwidth":0.0,"loss":0.0,"doubled":0.0}]],'
    b'"torn":true,"troubles":[{"at":1000.0,"what":"cut","source":"n0","target":"partner 7","lasts":4000.0},'
    b'{"at":2.0,"what":"hup","source":"n1","target":"","lasts":0.0}],"drifts":[0.01],"ahead":[5.0]}'
)
RECORDED_DEFAULT = (
    b'{"way":{"latency":0.2,"jitter":0.0,"bandwidth":0.0,"loss":0.0,"doubled":0.0},'
    b'"ways":[],"torn":false,"troubles":[],"drifts":[],"ahead":[]}'
)
RECORDED_ADDRESS = "ae42d9d547d922d5b594df1d95b12417"


@pytest.mark.parametrize(
    ("environment", "recorded"), [(FULL, RECORDED_FULL), (Environment(), RECORDED_DEFAULT)]
)
def test_environment_encoded_gives_the_recorded_bytes(environment: Environment, recorded: bytes):
    assert msgspec.json.encode(environment) == recorded


def test_point_with_an_environment_has_the_recorded_address():
    point = Point("plain", "", 0.9, 3, 1, 12.0, PartnerSettings(), FULL)
    assert point.address("code") == RECORDED_ADDRESS


def test_fault_kinds_have_the_words_of_the_command_line():
    assert {str(kind) for kind in FaultKind} == {
        "cut",
        "vanish",
        "reset",
        "step",
        "hup",
        "term",
        "full",
        "drain",
        "offline",
        "retune",
        "upgrade",
        "hang",
        "copies",
        "replace",
        "stall",
        "waits",
    }
