"""Allocation of ports to fake fleets: distinct for all runs on a machine, and for all processes of a run."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from winchspan.fakes.ports import BLOCK_SIZE, NoFreePortError, PortAllocator, PortRange, free_ports

PORT_COUNT = 300
ALLOCATE_AND_WAIT = (
    f"from winchspan.fakes.ports import free_ports\nprint(free_ports({PORT_COUNT}), flush=True)\ninput()"
)


# Guards against a client that reaches a courier of another run, which took the port of a restarted courier.
def test_free_ports_of_two_running_processes_are_all_different():
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", ALLOCATE_AND_WAIT], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        for _ in range(2)
    ]
    try:
        lines = [process.stdout.readline() for process in processes if process.stdout is not None]
    finally:
        for process in processes:
            process.communicate(b"\n")
    first, second = [{int(port) for port in line.strip(b"[]\n").split(b",")} for line in lines]
    assert len(first) == len(second) == PORT_COUNT
    assert first.isdisjoint(second)


# Guards against two couriers of one run with the same port, on which only one of them can listen.
def test_free_ports_drawn_one_by_one_are_all_different():
    ports = [free_ports(1)[0] for _ in range(PORT_COUNT)]
    assert len(set(ports)) == PORT_COUNT


def test_allocator_hands_a_port_out_again_after_all_others(tmp_path: Path):
    allocator = PortAllocator(PortRange(19_900, 19_910), tmp_path)
    first_round = [allocator.allocate(1)[0] for _ in range(10)]
    second_round = [allocator.allocate(1)[0] for _ in range(10)]
    assert len(set(first_round)) == 10
    assert second_round == first_round
    allocator.close()


def test_allocator_without_a_block_left_raises_until_another_closes(tmp_path: Path):
    ports = PortRange(19_000, 19_000 + BLOCK_SIZE)
    holder, other = PortAllocator(ports, tmp_path), PortAllocator(ports, tmp_path)
    holder.allocate(1)
    with pytest.raises(NoFreePortError, match="blocks of ports"):
        other.allocate(1)
    holder.close()
    assert PortAllocator(ports, tmp_path).allocate(1)
