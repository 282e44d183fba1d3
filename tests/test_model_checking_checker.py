"""The checker executes all runs within its bounds and reports the faults that lead to a violation."""

from __future__ import annotations

from winchspan.model_checking.checker import InvariantViolationError, explore


class ConsecutiveFaultsModel:
    """A model whose invariant is violated only by faults in two consecutive rounds."""

    def __init__(self) -> None:
        self.round_number = 0
        self.fault_rounds = [-9]

    def available_faults(self) -> list[str]:
        return ["mark"]

    def inject_fault(self, fault: str) -> None:
        self.fault_rounds.append(self.round_number)

    def run_round(self) -> None:
        self.round_number += 1
        if self.fault_rounds[-2:] in ([k, k + 1] for k in range(9)) and self.round_number > 5:
            raise InvariantViolationError("two in a row")

    def key(self) -> tuple[int, ...]:
        return (self.round_number, *self.fault_rounds)


def test_explore_executes_all_runs_within_its_bounds_and_reports_the_path_to_a_violation():
    one_fault, two_faults = explore(ConsecutiveFaultsModel(), 6, 1), explore(ConsecutiveFaultsModel(), 6, 2)
    assert not one_fault.violation and one_fault.runs == 7
    assert two_faults.violation == "two in a row" and len(two_faults.path) == 2
    exploration = explore(ConsecutiveFaultsModel(), 5, 2)
    assert not exploration.violation and exploration.runs == 1 + 5 + 10
    parts = [explore(ConsecutiveFaultsModel(), 5, 2, first_fault_rounds=[k]) for k in range(5)]
    assert sum(part.runs for part in parts) == 5 * 1 + 5 + 10, "each also counts the run without faults"
