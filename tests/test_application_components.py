"""Basic parts of a courier: slot table, timers, log limit, configuration and optional components."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any, NoReturn

import pytest
from loguru import logger

from winchspan.api import EndpointsUpdated
from winchspan.application.capacity import (
    ADMIN_DESCRIPTOR_COUNT,
    CONSENSUS_STORE_BYTES,
    MIN_RECEIVE_BUFFER_BYTES,
    OWN_DESCRIPTOR_COUNT,
    connection_capacity,
    journal_capacity_bytes,
    max_client_connections,
    receive_buffer_bytes,
)
from winchspan.application.components import create_components
from winchspan.application.discovery_gate import (
    FIRST_EVENT_TIMEOUT_MS,
    FIRST_SNAPSHOT_TIMEOUT_MS,
    DiscoveryGate,
)
from winchspan.application.registry import ProcessControl
from winchspan.application.resources import CourierResources, open_resources
from winchspan.config.operator.reader import read_nodes
from winchspan.config.operator.schema import validate_sections
from winchspan.config.operator.sections import SECTIONS
from winchspan.config.platform import (
    ConfigError,
    PlatformConfig,
    load_platform_config,
)
from winchspan.config.reload import reload_platform_config
from winchspan.runtime.clock import ManualClock, ms_to_ns, ns_to_ms
from winchspan.runtime.log_setup import MAX_LINES_PER_WINDOW, LogRateLimiter
from winchspan.runtime.slot_table import SlotTable
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue

ROOT = Path(__file__).parent.parent

MEGABYTE = 1024 * 1024


def test_slot_table_stale_handle_does_not_reach_reused_slot():
    table: SlotTable[str] = SlotTable()
    first = table.add("a")
    assert table.remove(first) == "a" and table.remove(first) is None
    second = table.add("b")
    assert first != second and table.get(first) is None and table.get(second) == "b"
    assert list(table) == ["b"] and len(table) == 1


def test_timer_queue_fires_in_order_and_skips_cancelled_timers():
    clock, fired = ManualClock(), list[str]()
    timers = TimerQueue(clock)
    timers.call_later(20, lambda: fired.append("late"))
    timers.call_later(10, lambda: fired.append("early"))
    timers.call_later(5, lambda: fired.append("never")).cancel()
    clock.advance(9.5)
    timers.run_due()
    assert fired == []
    clock.advance(11)
    timers.run_due()
    assert fired == ["early", "late"]


def test_timer_queue_failing_callback_does_not_stop_the_others():
    clock, fired = ManualClock(), list[str]()
    timers = TimerQueue(clock)
    timers.call_later(1, lambda: [][0])
    timers.call_later(2, lambda: fired.append("next"))
    clock.advance(3)
    timers.run_due()
    assert fired == ["next"]


def test_timer_queue_cancelled_timers_do_not_accumulate():
    timers = TimerQueue(ManualClock())
    for _ in range(10_000):
        timers.call_later(1e6, lambda: None).cancel()
    assert len(timers._heap) <= 1_100


def test_log_rate_limiter_beyond_limit_drops_and_counts_lines():
    clock, lines = ManualClock(), list[str]()
    sink = logger.add(lambda text: lines.append(str(text)), format="{message}", filter=LogRateLimiter(clock))
    for _ in range(MAX_LINES_PER_WINDOW + 50):
        logger.info("x")
    assert len(lines) == MAX_LINES_PER_WINDOW
    clock.advance(10_000)
    logger.info("later")
    logger.remove(sink)
    assert lines[-1] == "later (50 earlier lines dropped)\n"


def test_clock_conversion_between_ms_and_ns():
    assert ms_to_ns(1.5) == 1_500_000 and ns_to_ms(2_500_000) == 2.5


def write_config(tmp_path: Path, **changes: object) -> dict[str, str]:
    data = json.loads((ROOT / "examples" / "config.json").read_text())
    data["state"] = str(tmp_path)
    for key, value in changes.items():
        if value is None:
            del data[key]
        else:
            data[key] = value
    (tmp_path / "config.json").write_text(json.dumps(data))
    return {"ROUTER_CONFIG": str(tmp_path / "config.json")}


def test_load_example_configuration_with_environment_overrides(tmp_path: Path):
    env = write_config(tmp_path)
    config = load_platform_config(env)
    assert config.listen.port == 6379 and config.settings.slots == 8 and config.max_disk_bytes == 3_000_000
    config = load_platform_config(env | {"ROUTER_NAME": "n7", "ROUTER_LISTEN": "127.0.0.9:1"})
    assert config.name == "n7" and str(config.listen) == "127.0.0.9:1"


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"listen": None}, "listen"),
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "x:y"}, "discovery"),
        ({"state": "/no/such/folder"}, "state"),
        ({"seed": "zz"}, "seed"),
        ({"settings": None}, "settings"),
        ({"settings": {"request_classes": [{"name": "c"}]}}, "goal_time_ns"),
        ({"listen": 5}, "listen"),
        ({"limits": {"sockets": 2}}, "limits.sockets"),
        ({"limits": {"disk_mb": 0}}, "limits.disk_mb"),
        ({"limits": 3}, "limits"),
        ({"discovery": "x:" + "9" * 5_000}, "discovery"),
        ({"settings": {"kinds": ["k"], "family_info": {"per_call": [1e999]}}}, "settings"),
    ],
)
def test_load_unusable_configuration_names_the_faulty_key(tmp_path: Path, changes: dict[str, Any], word: str):
    with pytest.raises(ConfigError, match=word):
        load_platform_config(write_config(tmp_path, **changes))


def test_load_missing_or_malformed_file_raises(tmp_path: Path):
    with pytest.raises(ConfigError, match="ROUTER_CONFIG"):
        load_platform_config({"ROUTER_CONFIG": str(tmp_path / "none")})
    (tmp_path / "bad").write_text("{")
    with pytest.raises(ConfigError, match="JSON"):
        load_platform_config({"ROUTER_CONFIG": str(tmp_path / "bad")})


def test_reload_changes_discovery_and_nothing_else(tmp_path: Path):
    """The environment of a running process cannot change: at a reload, the file takes precedence."""
    env = write_config(tmp_path) | {"ROUTER_DISCOVERY": "127.0.0.5:1"}
    running = load_platform_config(env)
    assert str(running.discovery) == "127.0.0.5:1"
    write_config(tmp_path, discovery="127.0.0.6:2", seed="99", name="other")
    config = reload_platform_config(env, running)
    assert str(config.discovery) == "127.0.0.6:2"
    assert (config.seed, config.name) == (running.seed, running.name)
    write_config(tmp_path, discovery=None)  # the key is required even where the variable is set
    with pytest.raises(ConfigError, match="discovery"):
        reload_platform_config(env, running)
    for text in ("", "{", "[]", '{"discovery": "nowhere"}', '{"discovery": "127.0.0.6:2"}'):
        (tmp_path / "config.json").write_text(text)
        with pytest.raises(ConfigError):
            reload_platform_config(env, running)


# ---- optional components ---------------------------------------------------------------------------------
CLUSTER_SECTION = """(fleet (on yes) (listen "127.0.0.1:7001")
    (members "n0=127.0.0.1:7001" "n1=127.0.0.1:7002")
    (duties "nightly") (copies 1) (copies-mb 1))"""


@pytest.fixture
def config(tmp_path: Path) -> PlatformConfig:
    return load_platform_config(write_config(tmp_path) | {"ROUTER_NAME": "n0"})


@pytest.fixture
def event_loop() -> Iterator[asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


def process_control() -> ProcessControl:
    """Return a process control whose functions fail if a component calls them while it is created."""

    def unexpected(*arguments: object) -> NoReturn:
        raise AssertionError(f"called while components are created: {arguments}")

    return ProcessControl(unexpected, unexpected, unexpected, unexpected, unexpected, unexpected, unexpected)


def resources_of(
    config: PlatformConfig, operator: dict[str, Any], loop: asyncio.AbstractEventLoop
) -> CourierResources:
    def ignore(update: EndpointsUpdated) -> None:
        del update

    return open_resources(config, operator, loop, System(), ignore)


def test_create_components_all_off_provides_no_component_and_no_port(
    config: PlatformConfig, event_loop: asyncio.AbstractEventLoop
):
    resources = resources_of(replace(config, admin_address=None, listener_fd=None), {}, event_loop)
    selection = create_components(resources, process_control())
    resources.journal.close()
    assert selection.components == []
    assert selection.overload_control is None
    assert selection.archiver is None
    assert selection.replication is None


def test_create_components_cluster_beside_platform_listener_raises(
    config: PlatformConfig, event_loop: asyncio.AbstractEventLoop
):
    operator = validate_sections(read_nodes(CLUSTER_SECTION, "operator"), SECTIONS, "operator")
    resources = resources_of(replace(config, listener_fd=3), operator, event_loop)
    with pytest.raises(ConfigError, match=r"fleet\.on: not beside ROUTER_SOCKET_FD"):
        create_components(resources, process_control())
    resources.journal.close()


def test_capacity_is_reduced_by_cluster_and_admin_server(config: PlatformConfig):
    operator = validate_sections(read_nodes(CLUSTER_SECTION, "operator"), SECTIONS, "operator")
    alone = replace(config, admin_address=None)
    assert journal_capacity_bytes(alone, {}) == config.max_disk_bytes
    assert (
        journal_capacity_bytes(alone, operator) == config.max_disk_bytes - CONSENSUS_STORE_BYTES - 1_000_000
    )
    assert connection_capacity(alone, {}) == config.max_sockets - OWN_DESCRIPTOR_COUNT
    with_admin = replace(config, admin_address=config.listen)
    expected = config.max_sockets - OWN_DESCRIPTOR_COUNT - ADMIN_DESCRIPTOR_COUNT - 1
    assert connection_capacity(with_admin, operator) == expected


def test_max_client_connections_leaves_endpoints_their_slots(config: PlatformConfig):
    settings = replace(config.settings, slots=8)
    assert max_client_connections(100, settings, 192 * MEGABYTE) == 88
    assert max_client_connections(16, settings, 192 * MEGABYTE) == 8


def test_clients_fit_into_the_memory_limit(config: PlatformConfig):
    assert max_client_connections(1_000, config.settings, 64 * MEGABYTE) > 900
    assert max_client_connections(1_000, config.settings, 8 * MEGABYTE) == 333, "a third, as clients may hold"
    assert receive_buffer_bytes(64 * MEGABYTE) == 8 * MEGABYTE
    assert receive_buffer_bytes(8 * MEGABYTE) == MIN_RECEIVE_BUFFER_BYTES


class FakeWatch:
    """The part of a discovery watch that the gate uses."""

    def __init__(self) -> None:
        self.has_received = False
        self.has_response_head = False


@pytest.mark.parametrize(
    ("answers_after_ms", "event_after_ms", "opens_by_ms"),
    [
        (None, None, FIRST_SNAPSHOT_TIMEOUT_MS),
        (10.0, None, 10.0 + FIRST_EVENT_TIMEOUT_MS),
        (10.0, 14.0, 14.0),
    ],
)
def test_discovery_gate_opens_once_at_its_time(
    answers_after_ms: float | None, event_after_ms: float | None, opens_by_ms: float
):
    clock, opened_ms, watch = ManualClock(), list[float](), FakeWatch()
    timers, start_ms = TimerQueue(clock), clock.now()
    gate = DiscoveryGate(watch, clock, timers, lambda: opened_ms.append(clock.now() - start_ms))  # type: ignore[arg-type]  # a fake
    gate.start()
    for _ in range(200):
        clock.advance(1.0)
        elapsed_ms = clock.now() - start_ms
        watch.has_response_head = answers_after_ms is not None and elapsed_ms >= answers_after_ms
        watch.has_received = event_after_ms is not None and elapsed_ms >= event_after_ms
        timers.run_due()
    assert len(opened_ms) == 1
    assert opens_by_ms <= opened_ms[0] <= opens_by_ms + 2.0
