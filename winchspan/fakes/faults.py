"""Fault scripts whose steps wait for observed states, for courier processes and for emulated couriers.

A script is a file of S-expressions. Each is a step, and the steps are executed in order:

    (let x owner probes-3)    ; wait for the holder of a leased role, and bind x to it;
                              ; `(let x leader)` binds x to the leader of the consensus
    (freeze x)                ; also kill, start, thaw, lose (deletes the data directory), fill and room
                              ; (fill and free the disk), mute, deaf, alone, (cut x y); `(heal)` ends cuts
    (until other probes-3 x)  ; wait until another node than x holds the role; also `owns x ROLE`,
                              ; `owned ROLE`, `nobody ROLE`, `idle x` (holds no role), `led-without x`
                              ; (another node leads the consensus), `whole` (all run and see each other)
    (rest 2)                  ; wait 2 seconds
    (repeat 3 STEP ...)

`all` stands for every node in `kill`, `start` and `lose`. Only `rest` waits for a fixed time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Protocol

from winchspan.config.operator.reader import Node, read_nodes

ALL_NODES: Final = "all"
ACTIONS_ON_ALL_NODES: Final = ("kill", "start", "lose")
ISOLATIONS: Final = ("mute", "deaf", "alone")  # drop outgoing, incoming, or all traffic of a node
ACTIONS: Final = ("kill", "start", "freeze", "thaw", "lose", "fill", "room", *ISOLATIONS)
CONDITION_ARGUMENT_COUNTS: Final = {
    "owns": 2,
    "owned": 1,
    "nobody": 1,
    "other": 2,
    "idle": 1,
    "led-without": 1,
    "whole": 0,
}


class ScriptError(ValueError):
    """A script is invalid or cannot be executed; the message has the position and the reason."""


class ClusterUnderTest(Protocol):
    """A cluster that faults are injected into."""

    @property
    def names(self) -> list[str]:
        """Return the names of all nodes."""

    def now(self) -> float:
        """Return the time in seconds."""

    def lease_holders(self, role: str) -> list[str]:
        """Return the nodes that report a valid lease of a role."""

    def leader(self) -> str:
        """Return the leader of the consensus; empty without a leader."""

    def are_all_alive(self) -> bool:
        """Return whether all nodes run, and each sees all others as alive."""

    def is_idle(self, name: str) -> bool:
        """Return whether a node responds and holds no leased role."""

    def execute_action(self, action: str, name: str) -> None:
        """Execute one of `ACTIONS` on a node, except for the isolations."""

    def cut(self, source: str, target: str) -> None:
        """Drop all traffic in one direction."""

    def heal(self) -> None:
        """End all cuts."""


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a script: its kind and arguments, and the steps that a `repeat` repeats."""

    kind: str
    arguments: tuple[str, ...]
    line: int
    repeated: tuple[Step, ...] = ()

    def __str__(self) -> str:
        return f"({' '.join((self.kind, *self.arguments))})"


def parse_script(text: str, name: str) -> tuple[Step, ...]:
    """Parse a script.

    Args:
        text: the script.
        name: name of the script in error messages.

    Raises:
        ScriptError: a step is invalid.
        OperatorError: the text does not consist of S-expressions.
    """
    return tuple(_parse_step(node, name) for node in read_nodes(text, name))


def load_script(path: Path) -> tuple[Step, ...]:
    """Parse the script in a file; raises the errors of `parse_script`."""
    return parse_script(path.read_text(encoding="utf-8"), str(path))


def _parse_step(node: Node, name: str) -> Step:
    parts = node.value if node.is_list else []
    kind = parts[0].value if parts else None
    where = f"{name}:{node.line}:{node.column}"
    if not isinstance(kind, str):
        raise ScriptError(f"{where}: expected (STEP WORD ...)")
    if kind == "repeat":
        return _parse_repeat(node, name)
    step = Step(kind, tuple(str(part.value) for part in parts[1:]), node.line)
    is_valid = _STEP_CHECKS.get(kind)
    if is_valid is None or not is_valid(parts[1:]):
        raise ScriptError(f"{where}: no step: {step}")
    return step


def _parse_repeat(node: Node, name: str) -> Step:
    _, *parts = node.value
    if len(parts) < 2 or not isinstance(parts[0].value, int):
        raise ScriptError(f"{name}:{node.line}:{node.column}: expected (repeat TIMES STEP ...)")
    repeated = tuple(_parse_step(part, name) for part in parts[1:])
    return Step("repeat", (str(parts[0].value),), node.line, repeated)


def _is_valid_let(arguments: list[Node]) -> bool:
    words = [str(argument.value) for argument in arguments]
    return words[1:] == ["leader"] or (len(words) == 3 and words[1] == "owner")


def _is_valid_until(arguments: list[Node]) -> bool:
    if not arguments:
        return False
    return CONDITION_ARGUMENT_COUNTS.get(str(arguments[0].value)) == len(arguments) - 1


def _is_valid_rest(arguments: list[Node]) -> bool:
    return len(arguments) == 1 and isinstance(arguments[0].value, int | float)


_STEP_CHECKS: Final[dict[str, Callable[[list[Node]], bool]]] = {
    "let": _is_valid_let,
    "until": _is_valid_until,
    "rest": _is_valid_rest,
    "cut": lambda arguments: len(arguments) == 2,
    "heal": lambda arguments: not arguments,
    **dict.fromkeys(ACTIONS, lambda arguments: len(arguments) == 1),
}


class ScriptRunner:
    """Executes a script on a cluster, each step as soon as its condition holds."""

    def __init__(self, steps: Iterable[Step], cluster: ClusterUnderTest) -> None:
        self._cluster = cluster
        self._remaining = list(steps)
        self._bound_names: dict[str, str] = {}  # bindings by `let`
        self._rests_until: float | None = None

    @property
    def position(self) -> str:
        """Line and text of the next step, for error messages."""
        if not self._remaining:
            return "at its end"
        step = self._remaining[0]
        return f"line {step.line}: {step}"

    def advance(self) -> bool:
        """Execute all steps that need not wait; return whether the script is complete."""
        while self._remaining:
            step = self._remaining[0]
            if step.kind == "repeat":
                self._remaining[:1] = list(step.repeated) * int(step.arguments[0])
                continue
            if not self._try_step(step):
                return False
            self._remaining.pop(0)
        return True

    def _try_step(self, step: Step) -> bool:
        """Execute a step unless it has to wait; return whether it is complete."""
        arguments = step.arguments
        match step.kind:
            case "let":
                return self._bind_name(arguments)
            case "until":
                return self._holds(arguments[0], arguments[1:])
            case "rest":
                return self._has_rested(float(arguments[0]))
            case "heal":
                self._cluster.heal()
            case "cut":
                self._cluster.cut(self._node(arguments[0]), self._node(arguments[1]))
            case action:
                self._execute_action(action, arguments[0])
        return True

    def _bind_name(self, arguments: tuple[str, ...]) -> bool:
        name, kind = arguments[:2]
        found = [self._cluster.leader()] if kind == "leader" else self._cluster.lease_holders(arguments[2])
        if len(found) != 1 or not found[0]:
            return False
        self._bound_names[name] = found[0]
        return True

    def _has_rested(self, seconds: float) -> bool:
        if self._rests_until is None:
            self._rests_until = self._cluster.now() + seconds
        if self._cluster.now() < self._rests_until:
            return False
        self._rests_until = None
        return True

    def _node(self, word: str) -> str:
        name = self._bound_names.get(word, word)
        if name not in self._cluster.names:
            raise ScriptError(f"{word!r} is neither a node nor bound by `let`")
        return name

    def _execute_action(self, action: str, word: str) -> None:
        is_on_all = word == ALL_NODES and action in ACTIONS_ON_ALL_NODES
        for name in self._cluster.names if is_on_all else [self._node(word)]:
            if action in ISOLATIONS:
                self._isolate(action, name)
            else:
                self._cluster.execute_action(action, name)

    def _isolate(self, action: str, name: str) -> None:
        for other in self._cluster.names:
            if other != name and action != "deaf":
                self._cluster.cut(name, other)
            if other != name and action != "mute":
                self._cluster.cut(other, name)

    def _holds(self, condition: str, arguments: tuple[str, ...]) -> bool:
        """Return whether the condition of an `until` step holds."""
        cluster = self._cluster
        match condition:
            case "owns":
                return cluster.lease_holders(arguments[1]) == [self._node(arguments[0])]
            case "owned":
                return len(cluster.lease_holders(arguments[0])) == 1
            case "nobody":
                return not cluster.lease_holders(arguments[0])
            case "other":
                owners = cluster.lease_holders(arguments[0])
                return len(owners) == 1 and owners[0] != self._node(arguments[1])
            case "idle":
                return cluster.is_idle(self._node(arguments[0]))
            case "led-without":
                return cluster.leader() not in ("", self._node(arguments[0]))
            case _:
                return cluster.are_all_alive()
