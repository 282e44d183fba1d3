"""Delay-bounded exploration: executes all runs of a model with a bounded number of injected faults.

A model advances in rounds. In a round without faults, all messages are delivered and time passes to the next
timer. A fault, with its location and duration, begins at the start of a round. The checker executes all runs
within a number of rounds and a number of faults and expands each state once (Emmi, Qadeer and Rakamaric 2011,
who show that few deviations from the default schedule find most defects). The extent of an exploration is
given as rounds, faults and the number of states.
"""

from __future__ import annotations

import pickle
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

FaultT = TypeVar("FaultT")
MAX_TIME_DIFFERENCE_MS: Final = 1e5  # times further from now only count as past or future
# Constants of a run, and references to state that is included under its owner.
SKIPPED_ATTRIBUTES: Final = frozenset({"_rng", "timing", "_shared_state"})


class InvariantViolationError(AssertionError):
    """An invariant of the model is violated."""


class Model(Protocol[FaultT]):
    """A model that the checker can explore; its instances support pickle."""

    def available_faults(self) -> Sequence[FaultT]:
        """Return the faults that may begin now; their text appears in counterexamples."""

    def inject_fault(self, fault: FaultT) -> None:
        """Begin a fault."""

    def run_round(self) -> None:
        """Execute a round.

        Raises:
            InvariantViolationError: if an invariant does not hold.
        """

    def key(self) -> Hashable:
        """Return a canonical value that differs between states that may continue differently."""


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """The extent and the result of an exploration.

    Attributes:
        rounds: number of rounds of each run.
        max_faults: maximum number of faults in a run.
        states: number of distinct states at the beginning of a round.
        runs: number of complete runs.
        violation: description of the first violated invariant; empty: none.
        path: the faults that lead to the violation, each with its round.
    """

    rounds: int
    max_faults: int
    states: int
    runs: int
    violation: str = ""
    path: tuple[str, ...] = ()


class _RunPrefix(NamedTuple):
    """The first rounds of a run: the pickled state after them, and the faults that have begun."""

    pickled_model: bytes
    round_number: int = 0
    fault_count: int = 0
    path: tuple[str, ...] = ()


class _Explorer(Generic[FaultT]):
    """One depth-first exploration."""

    def __init__(self, rounds: int, max_faults: int, first_fault_rounds: Iterable[int] | None) -> None:
        self._rounds = rounds
        self._max_faults = max_faults
        self._first_fault_rounds = None if first_fault_rounds is None else set(first_fault_rounds)
        self._seen: set[bytes] = set()
        self._runs = 0

    def explore(self, model: Model[FaultT], max_states: int) -> ExplorationResult:
        stack = [_RunPrefix(pickle.dumps(model))]
        while stack:
            prefix = stack.pop()
            current: Model[FaultT] = pickle.loads(prefix.pickled_model)
            if prefix.round_number == self._rounds:
                self._runs += 1
                continue
            if not self._is_new_state(prefix, current):
                continue
            if max_states and len(self._seen) > max_states:
                break
            faults = current.available_faults() if self._may_inject_fault(prefix) else ()
            for fault in (None, *faults):
                path = prefix.path
                if fault is not None:
                    path = (*path, f"round {prefix.round_number}: {fault}")
                try:
                    stack.append(self._run_round(prefix, fault, path))
                except InvariantViolationError as err:
                    return self._result(str(err), path)
        return self._result()

    def _is_new_state(self, prefix: _RunPrefix, model: Model[FaultT]) -> bool:
        state = (prefix.round_number, prefix.fault_count, model.key())
        digest = blake2b(repr(state).encode(), digest_size=12).digest()
        if digest in self._seen:
            return False
        self._seen.add(digest)
        return True

    def _may_inject_fault(self, prefix: _RunPrefix) -> bool:
        if prefix.fault_count >= self._max_faults:
            return False
        is_first = prefix.fault_count == 0
        return (
            not is_first
            or self._first_fault_rounds is None
            or prefix.round_number in self._first_fault_rounds
        )

    def _run_round(self, prefix: _RunPrefix, fault: FaultT | None, path: tuple[str, ...]) -> _RunPrefix:
        model: Model[FaultT] = pickle.loads(prefix.pickled_model)
        fault_count = prefix.fault_count
        if fault is not None:
            model.inject_fault(fault)
            fault_count += 1
        model.run_round()
        return _RunPrefix(pickle.dumps(model), prefix.round_number + 1, fault_count, path)

    def _result(self, violation: str = "", path: tuple[str, ...] = ()) -> ExplorationResult:
        return ExplorationResult(self._rounds, self._max_faults, len(self._seen), self._runs, violation, path)


def explore(
    model: Model[FaultT],
    rounds: int,
    max_faults: int,
    max_states: int = 0,
    first_fault_rounds: Iterable[int] | None = None,
) -> ExplorationResult:
    """Execute all runs of a model within bounds.

    Args:
        model: the model in its initial state; it is not modified.
        rounds: number of rounds of each run.
        max_faults: maximum number of faults in a run.
        max_states: number of states after which the exploration stops, 0 for no bound; an exploration that
            stops early proves nothing.
        first_fault_rounds: rounds in which the first fault of a run may begin; None: any round.

    Returns:
        The extent of the exploration, and the first violation if there is one.
    """
    explorer: _Explorer[FaultT] = _Explorer(rounds, max_faults, first_fault_rounds)
    return explorer.explore(model, max_states)


def canonical_state(value: object, now: float) -> Hashable:
    """Return an object's state as a comparable value, with times (floats) relative to now.

    States that differ only by a common shift of all times are equal.

    Args:
        value: any object of a model.
        now: the current time of the object's clock, ms.
    """
    match value:
        case float():
            return _canonical_time(value, now)
        case dict():
            return _canonical_mapping(value, now)
        case set() | frozenset():
            return tuple(sorted(repr(canonical_state(item, now)) for item in value))
        case list() | tuple():
            return tuple(canonical_state(item, now) for item in value)
        case str() | bytes() | int() | None:
            return value
        case Enum():
            return str(value)
        case _:
            return _canonical_object(value, now)


def _canonical_time(value: float, now: float) -> Hashable:
    distance = value - now
    if -MAX_TIME_DIFFERENCE_MS < distance < MAX_TIME_DIFFERENCE_MS:
        return round(distance, 3)
    return value > now


def _canonical_mapping(mapping: dict[object, object], now: float) -> Hashable:
    pairs = [(repr(canonical_state(key, now)), canonical_state(value, now)) for key, value in mapping.items()]
    return tuple(sorted(pairs, key=lambda pair: pair[0]))


def _canonical_object(value: object, now: float) -> Hashable:
    attributes: dict[object, object] | None = getattr(value, "__dict__", None)
    if attributes is None:
        names = getattr(type(value), "__slots__", ())
        attributes = {name: getattr(value, name) for name in names}
    if not attributes:
        return repr(value)
    relevant = {name: state for name, state in attributes.items() if name not in SKIPPED_ATTRIBUTES}
    return type(value).__name__, canonical_state(relevant, now)
