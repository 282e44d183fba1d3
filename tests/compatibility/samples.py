"""Writes one sample of each format that is stored or sent to another program.

`make.py` recorded the samples with the program of commit 5bc3544. The functions in this module follow renamed
names of the program, but must write the same bytes (`tests/test_compatibility.py`).
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from tests.test_adapter import batch, begin, inventory, order, update
from winchspan.adapter import Adapter
from winchspan.admin.operations import Operations, ServingState
from winchspan.api import Effect, MessageClass
from winchspan.cluster import datagram_codec
from winchspan.cluster import messages as cluster_messages
from winchspan.cluster.peer_connection import PeerConnection
from winchspan.cluster.stream_transport import StreamHandlers, StreamTransport, StreamTransportConfig
from winchspan.config.platform import Address
from winchspan.config.settings import message_class_to_json
from winchspan.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
    PersistState,
    RequestVote,
    RequestVoteReply,
    Snapshot,
)
from winchspan.consensus.rollback_detection import LoadedState, Promise, StoreProgress
from winchspan.consensus.store import ConsensusStore
from winchspan.control import protocol
from winchspan.control.command_call import CommandCall, CommandResult, PeerCredentials
from winchspan.control.commands import build_commands
from winchspan.dead_letters import records as dead
from winchspan.dead_letters.audit_log import AuditedAction
from winchspan.dead_letters.policy import RedeliveryPolicy, RedeliveryRule
from winchspan.dead_letters.record_codec import failure_history_from_json
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.leases import messages as leases
from winchspan.leases.commands import AssignRole, SetReplicaPlacement, TakeoverCompleted
from winchspan.leases.lease_table import LeaseTable
from winchspan.membership.messages import Ack, Datagram, MembershipUpdate, Nack, NodeState, Ping, PingRequest
from winchspan.replication.messages import (
    EpochSuperseded,
    ReplicaAcknowledged,
    ReplicaBehind,
    ReplicateRecords,
    SnapshotChunk,
)
from winchspan.replication.replica_set import AppendRecords, PersistEpoch, ReplaceRecords
from winchspan.replication.replica_store import ReplicaStore
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.metrics import Metrics
from winchspan.runtime.system import Disk
from winchspan.storage.journal import Journal
from winchspan.storage.journal_records import JournalEntry
from winchspan.storage.record_file import iterate_records

NOW = 1_700_000_000_000.0  # Unix ms
BOOT = "5d0b1f6e-boot"
SECRET = b"a secret of the fleet"
LIMIT = 1_000_000
SECOND = 1_000_000_000
ORDER = MessageClass(
    "order-payment",
    2.0,
    4 * SECOND,
    24 * SECOND,
    0.4,
    Effect.KEYED,
    10 * SECOND,
    ordered=True,
    max_attempts=6,
)
NOTICE = MessageClass("gallery-notice", 1.0, 2 * SECOND, 5 * SECOND, 0.1, Effect.REPEATABLE)
FAILURE_HISTORY: dict[str, Any] = {
    "reason": "out of time",
    "at": NOW + 900.0,
    "attempts": [{"endpoint": "s-1", "at": NOW, "outcome": "error", "took": 12.5, "wait": 0.0}],
    "earlier": 1,
    "seen": {"window": 2, "calls": 1, "queue": 3, "sick": 0, "endpoints": 1, "waits": 250.0},
}


# ---- the journal -----------------------------------------------------------------------------------------
def open_journal(folder: Path) -> Journal:
    """Open a journal in a folder, anchored to a clock that does not advance."""
    folder.mkdir(parents=True, exist_ok=True)
    found = Journal(folder, LIMIT)
    clock = ManualClock(unix_ms=NOW)
    clock.boot_id = BOOT
    found.anchor_clock(clock)
    return found


def fill_journal(found: Journal) -> None:
    """Write each kind of record that a courier writes."""
    found.record_classes([message_class_to_json(ORDER), message_class_to_json(NOTICE)])
    found.record_disabled_endpoints(["s-1", "s-9"])
    found.record_work_epoch(7)
    first = found.accept("a1", "order-payment", 0x18, 7, NOW + 24_000.0, "token-1", b"body one")
    second = found.accept("a2", "gallery-notice", None, 8, NOW + 5_000.0, "", b"\x00\n\xff{}")
    third = found.accept("a3", "order-payment", None, 7, NOW + 24_000.5, "token-3", b"", 41, NOW - 500.0)
    fourth = found.accept("a4", "order-payment", 1 << 100, 7, NOW + 24_001.0, "token-4", b"four")
    fifth = found.accept("a5", "order-payment", 5, 7, NOW + 24_002.0, "token-5", b"five")
    assert found.record_attempt_started([first, second], "s-1", "zone-a", NOW + 1.0)
    found.record_attempt_ended([first], may_have_executed=True)
    found.record_attempt_ended([second], may_have_executed=False)
    assert found.record_attempt_started([first, fourth], "s-2", "zone-b", NOW + 2.25)
    found.record_classes([message_class_to_json(NOTICE)])
    found.record_notification_pending(second, "returned", 1_500)
    found.record_notification_pending(third, "failed", 0, FAILURE_HISTORY)
    found.record_completed([fifth])
    entry = JournalEntry(
        99,
        "b1",
        "order-payment",
        3,
        7,
        NOW + 20_000.0,
        "token-b",
        b"adopted",
        2,
        NOW + 3.0,
        "zone-c",
        NOW - 9.0,
        "zone-d",
    )
    entry.class_table = found.current_class_table
    assert found.take_over(entry, "courier-b", 12) is not None
    for number in range(40):  # completed messages: the next start rewrites the file
        found.record_completed(
            [found.accept(f"over-{number}", "gallery-notice", None, 8, NOW, "", b"x" * 100)]
        )


def read_files(folder: Path) -> dict[str, bytes]:
    """Return the content of the files of a folder, by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def write_files(folder: Path, content: dict[str, bytes]) -> None:
    """Create a folder with files."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, data in content.items():
        (folder / name).write_bytes(data)


def write_journals(folder: Path) -> None:
    """Write journals with each kind of record, with a torn tail, and in each state of a rewrite."""
    found = open_journal(folder / "every-kind")
    fill_journal(found)
    found.close()
    plain = read_files(folder / "every-kind")["messages.journal"]
    write_files(folder / "anew", {"messages.journal": plain})
    open_journal(folder / "anew").close()
    anew = read_files(folder / "anew")["messages.journal.2"]
    write_files(folder / "torn", {"messages.journal": plain[:-7]})
    write_files(folder / "broken", {"messages.journal": plain[:-3] + b"\x00" + plain[-2:]})
    write_files(
        folder / "half-written", {"messages.journal": plain, "messages.journal.2": anew[: len(anew) // 2]}
    )
    write_files(folder / "without-its-mark", {"messages.journal": plain, "messages.journal.2": anew[:-20]})
    write_files(folder / "both-complete", {"messages.journal": plain, "messages.journal.2": anew})
    write_files(
        folder / "left-over",
        {
            "messages.journal": plain,
            "messages.journal.2": anew,
            "messages.journal.new": b"an earlier version's",
        },
    )
    write_files(folder / "twice", {"messages.journal.2": anew})
    found = open_journal(folder / "twice")
    for number in range(700):
        found.record_completed(
            [found.accept(f"more-{number}", "gallery-notice", None, 8, NOW, "", b"x" * 100)]
        )
    found.close()


# ---- the consensus store ---------------------------------------------------------------------------------
MEMBERS = frozenset({"n0#beef", "n1#2", "n2#3"})


def log_entries() -> list[LogEntry]:
    """Return log entries of each kind, with each kind of command."""
    return [
        LogEntry(1, 1, EntryKind.MEMBERS, b"", MEMBERS),
        LogEntry(2, 1, EntryKind.NO_OP),
        LogEntry(3, 1, EntryKind.COMMAND, AssignRole("work-n0", "n0", 77, 0).encode()),
        LogEntry(4, 1, EntryKind.COMMAND, SetReplicaPlacement("n0", ("n1",), ("n2",), 0).encode()),
        LogEntry(5, 1, EntryKind.COMMAND, AssignRole("work-n0", "n1", 78, 3).encode()),
        LogEntry(6, 1, EntryKind.COMMAND, TakeoverCompleted("n0", 5).encode()),
        LogEntry(7, 1, EntryKind.COMMAND, SetReplicaPlacement("n1", ("n2",), (), 0).encode()),
    ]


def lease_table() -> LeaseTable:
    """Return the lease table after these entries."""
    found = LeaseTable()
    for entry in log_entries():
        found.apply(entry.index, entry.data)
    return found


def fill_consensus_store(store: ConsensusStore) -> None:
    """Persist terms, votes, entries, overwritten entries and a snapshot."""
    assert store.persist(PersistState(1, "n1#2"))
    assert store.persist(PersistState(1, "n1#2", 0, tuple(log_entries()[:4])))
    assert store.persist(PersistState(2, "", 4, tuple(log_entries()[3:])))
    assert store.persist(
        PersistState(2, "n0#beef", 0, (), Snapshot(5, 1, MEMBERS, lease_table().encode_snapshot()))
    )
    assert store.persist(PersistState(3, "n0#beef", 0, (LogEntry(8, 3, EntryKind.COMMAND, b"\x00\xff"),)))


def write_consensus_store(folder: Path) -> None:
    """Write consensus stores: as written, rewritten, and with a torn tail."""
    for name in ("plain", "anew"):
        (folder / name).mkdir(parents=True)
        store = ConsensusStore(folder / name, "n0", 0xBEEF, limit_bytes=6_000 if name == "anew" else LIMIT)
        fill_consensus_store(store)
        for number in range(70 if name == "anew" else 0):
            assert store.persist(PersistState(4 + number, "", 0, ()))
        store.close()
    plain = read_files(folder / "plain")["agreement.log"]
    write_files(folder / "torn", {"agreement.log": plain[:-5]})


# ---- replicas --------------------------------------------------------------------------------------------
def owner_records() -> list[bytes]:
    """Return the records of an owner's journal, as they are sent to its replicas."""
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as folder:
        found, written = Journal(Path(folder), LIMIT), list[bytes]()
        found.on_records_written = written.append
        found.record_classes([message_class_to_json(ORDER)])
        first = found.accept("c1", "order-payment", 3, 7, NOW + 24_000.0, "token-c", b"copied")
        found.accept("c2", "order-payment", 3, 7, NOW + 24_000.0, "token-d", b"also")
        found.record_disabled_endpoints(["s-4"])
        assert found.record_attempt_started([first], "s-1", "zone-a", NOW + 1.0)
        found.record_attempt_ended([first], may_have_executed=True)
        found.close()
    pieces = []
    for data in written:
        at = 0
        for _, _, size in iterate_records(data):
            pieces.append(data[at : at + size])
            at += size
    return pieces


def write_replicas(folder: Path) -> None:
    """Write the replicas of two owners, one with a torn tail."""
    library = ReplicaStore(folder, LIMIT, Disk())
    pieces = owner_records()
    assert library.persist(PersistEpoch("courier-b", 3))
    assert library.persist(ReplaceRecords("courier-b", 3, 4, tuple(pieces[:3])))
    assert library.persist(AppendRecords("courier-b", 3, 5, tuple(pieces[3:])))
    assert library.persist(ReplaceRecords("courier-c", 8, 2, tuple(pieces[:2])))
    assert library.persist(PersistEpoch("courier-c", 9))
    library.close()
    torn = folder / "courier-c"
    for path in torn.iterdir():
        path.write_bytes(path.read_bytes() + pieces[0][:9])


# ---- dead letters ----------------------------------------------------------------------------------------
def dead_letters() -> list[dead.DeadLetter]:
    """Return dead letters in each state."""
    history = failure_history_from_json(FAILURE_HISTORY)
    first = dead.DeadLetter(
        "a1",
        NOW + 5_000.0,
        "order-payment",
        7,
        1 << 70,
        "token-1",
        b"\x00body",
        "failed",
        history,
        dead.ExecutionEvidence.MAY_HAVE_RUN,
        "an attempt was reset",
        NOW - 10.0,
        dead.DeadLetterState.PENDING,
        next_redelivery_unix_ms=NOW + 60_000.0,
    )
    second = dead.DeadLetter(
        "a2",
        NOW + 6_000.0,
        "gallery-notice",
        8,
        None,
        "",
        b"",
        "returned",
        dead.FailureHistory("no endpoint", NOW),
        dead.ExecutionEvidence.NEVER_RAN,
        "no attempt was made",
        None,
        dead.DeadLetterState.ON_HOLD,
        redelivery_count=2,
        note="held",
        release_statement="anna: seen",
    )
    return [
        first,
        second,
        *(
            dead.DeadLetter(
                f"b{number}",
                NOW + number,
                "order-payment",
                7,
                number,
                f"t{number}",
                b"b",
                "returned",
                dead.FailureHistory("out of time", NOW + number),
                dead.ExecutionEvidence.NEVER_RAN,
                "",
                None,
                state,
                is_approved=state is dead.DeadLetterState.REDELIVERING,
            )
            for number, state in enumerate(dead.DeadLetterState)
        ),
    ]


def fill_store(store: DeadLetterStore) -> None:
    """Add dead letters, and more operator actions than the audit log holds."""
    store.add(dead_letters(), NOW)
    store.add(
        [
            dead.DeadLetter(
                "c1",
                NOW,
                "order-payment",
                7,
                None,
                "t",
                b"c",
                "failed",
                dead.FailureHistory("x", NOW),
                dead.ExecutionEvidence.RAN,
                "it said so",
                None,
                dead.DeadLetterState.ON_HOLD,
            )
        ],
        NOW,
        "ops",
        "a file",
    )
    for number in range(20):
        state = dead.DeadLetterState.ON_HOLD if number % 2 else dead.DeadLetterState.PENDING
        other = dead.DeadLetterState.PENDING if number % 2 else dead.DeadLetterState.ON_HOLD
        assert store.update(
            1,
            state,
            AuditedAction(NOW + number, "ops", "hold" if number % 2 else "release", f"reason {number}"),
            state=other,
            note=f"note {number}",
        )


BOUNDS = StoreBounds(4_000_000, 1_000, 30.0, audit_entry_count=5)


def write_store(folder: Path) -> None:
    """Write a store of dead letters with its audit log."""
    folder.mkdir(parents=True, exist_ok=True)
    store = DeadLetterStore(folder / "undelivered.sqlite", BOUNDS)
    fill_store(store)
    store.close()


# ---- frames between couriers -----------------------------------------------------------------------------
def datagrams() -> dict[str, Datagram]:
    """Return one datagram of each kind."""
    updates = tuple(
        MembershipUpdate(
            f"n{state.value}",
            state,
            4 + state.value,
            90 + state.value,
            "n2" if state is NodeState.SUSPECT else "",
        )
        for state in NodeState
    )
    return {
        "ping": Datagram("n0", 3, 91, False, Ping(17, "n1", "n2"), updates),
        "ask": Datagram("n0", 3, 91, False, PingRequest(18, "n1")),
        "ack": Datagram("n0", 3, 91, True, Ack(19, "n0")),
        "nack": Datagram("n0", 3, 91, False, Nack(20, "n1"), updates[:1]),
    }


@dataclass(frozen=True)
class EncodableMessage:
    """A message between couriers, with the functions that encode and decode its body."""

    message: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


def _plain(kind: str, message: Any) -> EncodableMessage:
    """Return a message that is sent without an envelope."""
    assert cluster_messages.PLAIN_KINDS[type(message)] == kind
    decoder = msgspec.msgpack.Decoder(type(message))
    return EncodableMessage(message, lambda value: cluster_messages.encode(value)[1], decoder.decode)


def _enveloped(message: Any) -> EncodableMessage:
    """Return a message of the consensus or of leases, which is sent in an envelope."""

    def write(value: Any) -> bytes:
        return cluster_messages.encode_envelope("n0#beef", "n1#2", value)[1]

    def read(body: bytes) -> Any:
        envelope = cluster_messages.decode_envelope(body)
        assert (envelope.source, envelope.destination) == ("n0#beef", "n1#2")
        kind = cluster_messages.ENVELOPED_KINDS[type(message)]
        return cluster_messages.decode_enveloped(kind, envelope)

    return EncodableMessage(message, write, read)


def announcement_with_promise() -> cluster_messages.NodeAnnouncement:
    """Return an announcement with the loaded state of its process and the promise of its receiver."""
    announcement = cluster_messages.NodeAnnouncement("n0#beef", False, incarnation=77, term=5, last_index=8)
    announcement.known_progress = ("n1#2", StoreProgress(2, 78, 4, 5, 6))
    announcement.loaded_state = LoadedState(4, "n1#2", 7)
    announcement.known_promise = Promise(5, "n0#beef", 8, 5)
    return announcement


def peer_messages() -> dict[str, EncodableMessage]:
    """Return one message of each kind that is sent over a connection between couriers."""
    duties = (("probes-1", 4), ("work-n0", 9))
    agreed: dict[str, Any] = {
        "vote-wish": RequestVote(5, 8, 3, True),
        "vote": RequestVoteReply(5, True, False),
        "append": AppendEntries(5, 7, 3, tuple(log_entries()), 6, 44),
        "appended": AppendEntriesReply(5, True, 8, 44),
        "install": InstallSnapshot(5, Snapshot(5, 1, MEMBERS, lease_table().encode_snapshot()), 45),
        "ask": leases.RenewLeases("n0", 77, 3, duties),
        "renewal": leases.LeasesRenewed(3, duties),
        "give-up": leases.ReleaseLease("work-n0", 9),
        "gave-up": leases.LeaseReleased("work-n0", 9),
        "left": leases.LeaseSurrendered("work-n0", 9),
    }
    here = cluster_messages.NodeAnnouncement(
        "n0#beef",
        False,
        77,
        1_000.5,
        "zone-a",
        "region-a",
        True,
        9,
        3,
        5,
        6,
        8,
        ("n1#2", StoreProgress(2, 78, 4, 5, 6)),
    )
    lease_entry = AssignRole("work-n0", "n0", 77, 0).encode()
    pieces = tuple(owner_records()[:2])
    mark = b"t" + bytes(range(8))
    copied: dict[str, Any] = {
        "copy-delivered": cluster_messages.LateDeliveriesReported(["a1", "a2"]),
        "copy-leaves": cluster_messages.NodeLeaving(77),
        "copy": ReplicateRecords("n0", 9, 5, pieces),
        "copy-whole": SnapshotChunk("n0", 9, 4, 1, True, pieces),
        "copy-held": ReplicaAcknowledged("n0", 9, 6),
        "copy-lacks": ReplicaBehind("n0", 9, -1),
        "copy-passed": EpochSuperseded("n0", 10),
        "copy-ask": cluster_messages.ReplicaProgressRequested("n0"),
        "copy-standing": cluster_messages.ReplicaProgressReported("n0", 9, 6),
        "copy-promise": cluster_messages.EpochPromiseRequested("n0", 10),
        "copy-promised": cluster_messages.EpochPromised("n0", 10),
    }
    claimed: dict[str, Any] = {
        "copy-claims": cluster_messages.ClaimsAnnounced(
            "n0",
            9,
            [
                cluster_messages.ClaimRow("a1", [mark], 1_500.5),
                cluster_messages.ClaimRow("a2", [], 0.0),
            ],
        ),
        "copy-over": cluster_messages.ClaimCompleted("n0", 9, "a1", -1.0, "zone-a"),
        "copy-speaks": cluster_messages.ClaimsReleased("n0", 9),
        "copy-ran": cluster_messages.PossiblyExecuted(mark, 20.5, "zone-b"),
    }
    probed: dict[str, Any] = {
        "probe": cluster_messages.HealthCheckStarting(4, "probes-1", 9, "s-1", 7, 12),
        "probe-heard": cluster_messages.HealthCheckAcknowledged(4, True),
        "probe-end": cluster_messages.HealthCheckCompleted("s-1", 12, 9, True, 18.5, True),
        "probe-ask": cluster_messages.HealthStateRequested(5, "probes-1", 9),
        "probe-rows": cluster_messages.HealthStateReported(
            5,
            True,
            [
                cluster_messages.EndpointHealthRow("s-1", 7, 12, 9, 20.5, None, 2),
                cluster_messages.EndpointHealthRow("s-2", 7, 3, 9, 1.0, True, 0),
            ],
            [(7, 250.5)],
        ),
        "wait": cluster_messages.BackoffObserved(7, 250.5),
    }
    resent: dict[str, Any] = {
        "resend-order": cluster_messages.RedeliveryQuotaGranted(9, 3, {"rule": 5}),
        "resend-used": cluster_messages.RedeliveryQuotaUsed(3, {"rule": 2}),
    }
    return {
        "here": _plain("here", here),
        "agree": _plain("agree", lease_entry),
        **{kind: _enveloped(message) for kind, message in agreed.items()},
        **{kind: _plain(kind, message) for kind, message in copied.items()},
        **{kind: _plain(kind, message) for kind, message in claimed.items()},
        **{kind: _plain(kind, message) for kind, message in probed.items()},
        **{kind: _plain(kind, message) for kind, message in resent.items()},
    }


KINDS_IN_USE = {
    *cluster_messages.ENVELOPED_KINDS.values(),
    *cluster_messages.PLAIN_KINDS.values(),
}


class RecordingTransport:
    """The transport of one end of a connection in memory; records the written bytes."""

    def __init__(self) -> None:
        self.written: list[bytes] = []

    def writelines(self, pieces: list[bytes]) -> None:
        self.written.append(b"".join(pieces))

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        raise AssertionError("the connection was aborted")


def make_end(
    name: str, dialled_peer: str, secret: bytes, received: list[tuple[str, str, bytes]]
) -> tuple[PeerConnection, RecordingTransport]:
    """Return one end of a connection from `n0` to `n1`, and its transport."""
    members = {"n0": Address("127.0.0.1", 1), "n1": Address("127.0.0.1", 2)}
    token = name.encode() * 8
    streams = StreamTransport(
        StreamTransportConfig(name, members, secret),
        StreamHandlers(lambda *message: received.append(message), lambda peer_name: None),
        lambda ms, call: None,
        lambda: token,
    )
    peer, wire = PeerConnection(streams, dialled_peer), RecordingTransport()
    peer._transport = wire  # type: ignore[assignment]
    return peer, wire


def feed(peer: PeerConnection, data: bytes) -> None:
    """Pass bytes to an end of a connection."""
    while data:
        space = peer.get_buffer(-1)
        piece, data = data[: len(space)], data[len(space) :]
        space[: len(piece)] = piece
        space.release()
        peer.buffer_updated(len(piece))


def record_connection(secret: bytes) -> dict[str, list[bytes]]:
    """Return the writes of both ends of a connection: the handshake, and one frame of each kind from `n0`."""
    (mine, my_wire), (theirs, their_wire) = (
        make_end("n0", "n1", secret, []),
        make_end("n1", "", secret, []),
    )
    mine._send_hello("n1")
    feed(theirs, my_wire.written[0])
    feed(mine, their_wire.written[0])
    feed(theirs, my_wire.written[1])
    for kind, one in peer_messages().items():
        assert mine.send(kind, one.encode(one.message))
    return {"n0": my_wire.written, "n1": their_wire.written}


def write_frames(folder: Path) -> None:
    """Write datagrams, bodies by kind, and connections with and without a secret, as hexadecimal digits."""
    folder.mkdir(parents=True, exist_ok=True)
    found: dict[str, Any] = {}
    for title, secret in (("plain", b""), ("signed", SECRET)):
        found[title] = {
            "datagrams": {
                kind: datagram_codec.encode_datagram(one, secret).hex() for kind, one in datagrams().items()
            },
            "connection": {
                name: [frame.hex() for frame in frames] for name, frames in record_connection(secret).items()
            },
        }
    found["bodies"] = {kind: one.encode(one.message).hex() for kind, one in peer_messages().items()}
    (folder / "frames.json").write_text(json.dumps(found, indent=1) + "\n")


# ---- formats that operators and tools read ---------------------------------------------------------------
def sample_metrics() -> Metrics:
    """Return metrics after some messages."""
    found = Metrics(["order-payment", "gallery-notice"])
    for ending, cls, count in (
        ("answered", "order-payment", 5),
        ("deferred", "order-payment", 2),
        ("errored", "gallery-notice", 1),
    ):
        for _ in range(count):
            found.count_completed(ending, cls)
    found.count_sent(7)
    found.config_loaded_count, found.config_invalid_count = 2, 1
    return found


class ControlledCourier:
    """The courier that executes the commands of the control socket."""

    is_out_of_service = False

    def __init__(self, store: DeadLetterStore) -> None:
        self.store = store
        self.names = {"s-1"}

    def knows(self, name: str) -> bool:
        return name in self.names

    def take_offline(self, name: str) -> bool:
        return True

    def bring_online(self, name: str) -> None:
        pass

    def begin_drain(self) -> None:
        self.is_out_of_service = True

    def end_drain(self) -> None:
        self.is_out_of_service = False

    def run_on_store(
        self, operation: Callable[[DeadLetterStore], Any], on_result: Callable[[Any], None]
    ) -> None:
        on_result(operation(self.store))


def control_commands() -> list[tuple[str, dict[str, Any]]]:
    """Return each command with arguments, and some rejected commands."""
    return [
        ("ready", {}),
        ("counters", {}),
        ("offline", {"id": "s-1"}),
        ("offline", {"id": "s-2"}),
        ("online", {"id": "s-1"}),
        ("out-of-service", {}),
        ("ready", {}),
        ("in-service", {}),
        ("undelivered.stats", {}),
        ("undelivered.list", {"most": 3, "bodies": True}),
        ("undelivered.list", {"what": {"state": "held", "key": "xyz"}}),
        ("undelivered.show", {"number": 1}),
        ("undelivered.show", {"number": 99}),
        ("undelivered.why", {"number": 1}),
        ("undelivered.trail", {"after": 20}),
        ("undelivered.act", {"action": "hold", "who": "ops", "numbers": [1], "why": "look", "dry_run": True}),
        (
            "undelivered.act",
            {"action": "report", "who": "ops", "lines": ["token-1 never"], "source": "r", "dry_run": True},
        ),
        ("undelivered.import", {"who": "ops", "messages": [{"id": 1}]}),
        ("undelivered.act", {"x": 1}),
    ]


def replies(store: DeadLetterStore) -> list[dict[str, Any]]:
    """Return the request and reply frames of each command."""
    courier = ControlledCourier(store)
    clock = ManualClock(unix_ms=NOW)
    lines = sample_metrics()
    operations = Operations(
        courier, courier, lambda: lines.render("courier", {"current": 3}), lambda: ServingState.SERVING
    )
    rule = RedeliveryRule(
        "rule",
        (),
        (),
        (),
        (),
        (dead.ExecutionEvidence.NEVER_RAN,),
        60_000.0,
        86_400_000.0,
        1.0,
        (0.0, 24.0),
        3,
        60_000.0,
        False,
    )
    context = RedeliveryPolicy([rule], {"order-payment": ORDER, "gallery-notice": NOTICE})

    class Courier:
        def status(self) -> dict[str, Any]:
            return {}

    handlers = build_commands(Courier(), courier, clock, context, operations)
    found: list[dict[str, Any]] = []
    for number, (command, args) in enumerate(control_commands()):
        results: list[CommandResult] = []
        request = protocol.Request(protocol.PROTOCOL_VERSION, number, command, args)
        handlers[command](CommandCall(args, PeerCredentials(1, 0), results.append))
        ((data, error),) = results
        reply = protocol.Reply(number, data, error)
        found.append(
            {
                "request": protocol.encode_frame(request).decode("latin-1"),
                "reply": protocol.encode_frame(reply).decode("latin-1"),
            }
        )
    return found


def write_control(folder: Path) -> None:
    """Write requests and replies of the control socket."""
    from tempfile import TemporaryDirectory

    folder.mkdir(parents=True, exist_ok=True)
    with TemporaryDirectory() as place:
        store = DeadLetterStore(Path(place) / "undelivered.sqlite", BOUNDS)
        fill_store(store)
        found = replies(store)
        store.close()
    (folder / "control.json").write_text(json.dumps(found, indent=1) + "\n")


def write_metrics(folder: Path) -> None:
    """Write the metrics of a courier, and the metrics and status of the members of an emulated fleet."""
    from tempfile import TemporaryDirectory

    from winchspan.simulation.cluster import EmulatedFleet, FleetOptions

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "courier.txt").write_text(
        sample_metrics().render("courier", {"current": 3, "cluster_size": 4, "cluster_unhealthy": 1})
    )
    with TemporaryDirectory() as place:
        fleet = EmulatedFleet(
            Path(place),
            3,
            5,
            FleetOptions(6, fleet_section_options='(copies 1) (shared-waits yes) (duties "one")'),
        )
        fleet.start()
        fleet.run(5.0)
        for name, member in fleet.members.items():
            assert member.application is not None
            (folder / f"fleet-{name}.txt").write_text(member.application.render_metrics())
            (folder / f"fleet-{name}.json").write_text(
                json.dumps(member.application.status(), indent=1, sort_keys=True) + "\n"
            )
        fleet.close()


def write_simulator(folder: Path) -> None:
    """Write lines of the simulator and the replies to them."""
    folder.mkdir(parents=True, exist_ok=True)
    adapter, rows = Adapter(), list[dict[str, str]]()
    step = 5_000_000
    order_out = {
        "Returned": {
            "dispatcher": 0,
            "corr": "m1",
            "round_no": 0,
            "endpoint": 11,
            "verdict": 2,
            "lag_ns": 1_000_000,
            "wait_ms": 200,
            "usage": {"x0": 0.5, "x1": 20},
        }
    }
    lines = [
        batch(0, begin(), inventory(11), update()),
        batch(step, order("m1"), order("m2"), order("m3")),
        batch(2 * step, order_out),
        batch(10 * step, {"Elapsed": {"dispatcher": 0, "ctx": 0}}),
        batch(50 * step, {"Elapsed": {"dispatcher": 0, "ctx": 0}}),
        batch(
            60 * step,
            {
                "Returned": {
                    "dispatcher": 0,
                    "corr": "m1",
                    "round_no": 1,
                    "endpoint": 11,
                    "verdict": 1,
                    "lag_ns": 9_000_000,
                    "last": True,
                }
            },
        ),
        batch(61 * step, {"Dropped": {"dispatcher": 0, "corr": "m2"}}),
        batch(
            62 * step,
            {"FromPeer": {"dispatcher": 0, "src": 1, "bytes": "00ff"}},
            {"CheckResult": {"dispatcher": 0}},
            {"HeadReceived": {"dispatcher": 0}},
        ),
        batch(1_100 * step, {"Elapsed": {"dispatcher": 0, "ctx": 0}}),
        batch(1_200 * step, {"Detach": {"dispatcher": 0}}),
        batch(1_300 * step, begin(info={"family_info": {"workers": 1}})),
    ]
    for line in lines:
        rows.append({"line": line, "reply": adapter.reply(line)})
    (folder / "simulator.json").write_text(json.dumps(rows, indent=1) + "\n")


WRITERS: dict[str, Callable[[Path], None]] = {
    "journal": write_journals,
    "agreement": write_consensus_store,
    "replicas": write_replicas,
    "store": write_store,
    "frames": write_frames,
    "control": write_control,
    "metrics": write_metrics,
    "simulator": write_simulator,
}
