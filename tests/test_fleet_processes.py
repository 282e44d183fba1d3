"""Membership of courier processes under failures; each test waits for observed states."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.fleet_courier import MemberCounts, wait_for
from winchspan.fakes.ports import HOST

ALL_ALIVE = MemberCounts(alive=3)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    three_couriers = Fleet(tmp_path, 3)
    yield three_couriers
    three_couriers.stop()


def test_membership_killed_node_is_gone_and_its_restart_is_detected(fleet: Fleet):
    fleet.start()
    fleet["n1"].kill()
    fleet.wait_for_members("n1 is gone", ("n0", "n2"), MemberCounts(alive=2, gone=1))
    assert (
        "n1 is gone" in fleet["n0"].read_log()
        and "suspected for" in fleet["n0"].read_log() + fleet["n2"].read_log()
    )
    fleet["n1"].start()
    fleet.wait_until_all_alive("n1 is back")
    wait_for("its restart is logged", lambda: "n1 continues in another process" in fleet["n0"].read_log())


def test_membership_resumed_node_suspects_no_other_node_and_rejoins(fleet: Fleet):
    fleet.start()
    fleet["n2"].send_signal(signal.SIGSTOP)
    fleet.wait_for_members("n2 is gone", ("n0", "n1"), MemberCounts(alive=2, gone=1))
    logged_length = len(fleet["n2"].read_log())
    fleet["n2"].send_signal(signal.SIGCONT)
    fleet.wait_until_all_alive("n2 is there")
    new_lines = fleet["n2"].read_log()[logged_length:]
    assert " is suspect" not in new_lines and " is gone" not in new_lines
    assert "continues in another process" not in fleet["n0"].read_log(), "it is the same process"


def test_membership_node_that_shuts_down_leaves_without_being_suspected(fleet: Fleet):
    fleet.start()
    fleet["n0"].send_signal(signal.SIGTERM)
    fleet.wait_for_members("n0 has left", ("n1", "n2"), MemberCounts(alive=2, left=1))
    process = fleet["n0"].process
    assert process is not None and process.wait(60.0) == 0
    assert "n0 is suspect" not in fleet["n1"].read_log() + fleet["n2"].read_log()


def test_membership_all_nodes_restarted_find_each_other(fleet: Fleet):
    fleet.start()
    for courier in fleet.couriers.values():
        courier.kill()
    fleet.start()


def test_membership_grows_at_sighup_and_keeps_its_members_when_the_file_is_broken(tmp_path: Path):
    fleet = Fleet(tmp_path, 4)
    try:
        fleet.set_members(["n0", "n1", "n2"])
        for name in ("n0", "n1", "n2"):
            fleet[name].start()
        fleet.wait_for_members("three know each other", ("n0", "n1", "n2"), ALL_ALIVE)
        fleet.set_members(["n0", "n1", "n2", "n3"])
        fleet["n3"].start()
        for name in ("n0", "n1", "n2"):
            fleet[name].send_signal(signal.SIGHUP)
        fleet.wait_until_all_alive("four know each other")
        fleet["n0"].operator_path.write_text("(fleet (on yes) (members")
        fleet["n0"].send_signal(signal.SIGHUP)
        wait_for(
            "the broken file is logged",
            lambda: "previous operator options stay in force" in fleet["n0"].read_log(),
        )
        assert fleet["n0"].read_member_counts() == MemberCounts(alive=4)
    finally:
        fleet.stop()


def test_membership_malformed_datagrams_are_counted_and_dropped(fleet: Fleet):
    fleet.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as outsider:
        for data in (b"", b"WS", b"WS\x09\x00x", b"WS\x01\x00\x81", b"x" * 2_000):
            for _ in range(20):
                outsider.sendto(data, (HOST, fleet.ports["n0"]))

    def dropped_counts() -> dict[str, int]:
        metrics = fleet["n0"].read_metrics().items()
        return {name.removeprefix("fleet.dropped."): count for name, count in metrics if "dropped" in name}

    wait_for("all are counted", lambda: sum(dropped_counts().values()) >= 100)
    assert dropped_counts() == {
        "no_frame_of_ours": 40,
        "unknown_version_9": 20,
        "not_readable": 20,
        "too_large": 20,
    }
    assert all(courier.read_member_counts() == ALL_ALIVE for courier in fleet.couriers.values())


def test_membership_node_with_another_secret_is_rejected(tmp_path: Path):
    (tmp_path / "secret").write_bytes(b"one")
    (tmp_path / "other").write_bytes(b"two")
    fleet = Fleet(tmp_path, 3, ProcessFleetOptions(f'(secret-file "{tmp_path}/secret")'))
    try:
        outsider = fleet["n2"]
        outsider.operator_file = outsider.operator_file.replace("/secret", "/other")
        outsider.write_configuration(3)
        for courier in fleet.couriers.values():
            courier.start()
        fleet.wait_for_members("two know each other", ("n0", "n1"), MemberCounts(alive=2))
        wait_for(
            "the third is rejected",
            lambda: fleet["n0"].read_metrics().get("fleet.dropped.wrong_signature", 0) > 0,
        )
        assert outsider.read_member_counts() == MemberCounts(alive=1)
    finally:
        fleet.stop()


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("n0=", "n9="), "operator.sexp:2:8: fleet.members: this courier, 'n0', is not among"),
        (("n1=", "n0="), "operator.sexp:2:8: fleet.members: duplicate name 'n0'"),
        (('(listen "127.0.0.1:', '(listen "127.0.0.1:1'), "operator.sexp:1:17: fleet.listen"),
        (("(on yes)", "(on yes) (period 0.1)"), "fleet.answer: must be a third of fleet.period, 0.1 s"),
        (("(on yes)", '(on yes) (secret-file "/nowhere")'), "fleet.secret-file: expected an existing file"),
    ],
)
def test_start_with_invalid_fleet_section_ends_with_one_line(
    tmp_path: Path, change: tuple[str, str], expected: str
):
    fleet = Fleet(tmp_path, 3)
    courier = fleet["n0"]
    courier.operator_file = courier.operator_file.replace(*change)
    courier.write_configuration(3)
    courier.start()
    assert courier.process is not None and courier.process.wait(60.0) == 2
    assert len(courier.read_log().splitlines()) == 1 and expected in courier.read_log(), courier.read_log()


@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
def test_start_with_fleet_port_in_use_ends_with_one_line(tmp_path: Path, kind: int):
    fleet = Fleet(tmp_path, 3, ProcessFleetOptions('(duties "one")'))
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind((HOST, fleet.ports["n0"]))
        if kind == socket.SOCK_STREAM:
            other.listen()
        fleet["n0"].start()
        process = fleet["n0"].process
        assert process is not None and process.wait(60.0) == 2
    assert (
        "operator.sexp:1:17: fleet.listen: " in fleet["n0"].read_log() and "in use" in fleet["n0"].read_log()
    )


def test_start_without_fleet_imports_no_cluster_package():
    packages = (
        "cluster",
        "cluster_tasks",
        "consensus",
        "leases",
        "membership",
        "model_checking",
        "replication",
    )
    code = (
        "import sys, winchspan.__main__, winchspan.application.application, winchspan.application.components;"
        "import winchspan.runtime.system;"
        "from pathlib import Path; from winchspan.config.operator.loader import load_operator_file;"
        "load_operator_file(Path('deploy/kenanga.sexp'));"
        f"packages = {packages!r};"
        "print([m for m in sys.modules"
        " if m.partition('winchspan.')[2].split('.')[0] in packages or 'msgspec' in m])"
    )
    root = Path(__file__).parent.parent
    out = subprocess.run([sys.executable, "-c", code], cwd=root, capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "[]"
