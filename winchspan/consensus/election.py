"""Leader election: votes (Ongaro 2014, 3.4), pre-votes (9.6) and leader stickiness (4.2.3)."""

from __future__ import annotations

import random
from typing import Final

from winchspan.consensus.messages import RequestVote, RequestVoteReply
from winchspan.consensus.node_state import NodeState, RaftRole

MAX_TIMEOUT_FACTOR: Final = 1.5  # largest randomised election timeout, as a multiple of the minimum
STEP_DOWN_TIMEOUT_FACTOR: Final = 3  # election timeouts until a leader that stepped down campaigns again
SPLIT_VOTE_RETRY_FACTORS: Final = (0.1, 0.4)  # delay of a retry after a split vote, in minimum timeouts


class Election:
    """Leader election on one node: the election timer, votes received and votes granted."""

    def __init__(self, shared_state: NodeState, seed: int, now: float) -> None:
        """Start the election timer.

        Args:
            shared_state: state of the node.
            seed: seed of the random timeouts.
            now: clock reading, ms.
        """
        self._shared_state = shared_state
        self._rng = random.Random(seed)
        self._votes: set[str] = set()
        # The previous process may have had contact with a leader just before the restart. Stickiness
        # therefore applies from the start: leases rely on no vote for another candidate within an election
        # timeout of the last contact (winchspan/leases/manager.py).
        self._leader_contact_ms = now if shared_state.term else float("-inf")
        self.deadline_ms = self.draw_deadline_ms(now)

    @property
    def vote_count(self) -> int:
        """Number of votes collected in the current election."""
        return len(self._votes)

    def draw_deadline_ms(self, now: float) -> float:
        """Return the clock reading at which a new randomised election timeout ends, ms.

        An exchange of votes takes a few ms, so a spread of 300 ms separates candidates (9.3).
        """
        return now + self._shared_state.timing.election_timeout_ms * self._rng.uniform(
            1.0, MAX_TIMEOUT_FACTOR
        )

    def campaign(self, now: float, pre_vote: bool) -> bool:
        """Request votes, or pre-votes, which keep a partitioned node from raising its term (9.6).

        Returns:
            Whether the election is already won.
        """
        state = self._shared_state
        self.deadline_ms = self.draw_deadline_ms(now)
        if state.node_id not in state.log.members or state.is_suspended:
            return False
        state.role = RaftRole.PRE_CANDIDATE if pre_vote else RaftRole.CANDIDATE
        self._votes = {state.node_id}
        state.set_leader("", "election timeout elapsed" if pre_vote else "pre-vote won")
        if not pre_vote:
            state.term += 1
            state.voted_for = state.node_id
            state.persist()
        last = state.log.last_position
        candidate_term = state.term + 1 if pre_vote else state.term
        request = RequestVote(candidate_term, last.log_index, last.term, pre_vote)
        for node_id in state.other_members:
            state.send(node_id, request)
        return self._count_votes(now)

    def handle_request_vote(self, now: float, source: str, request: RequestVote) -> None:
        """Reply to a candidate's request for a vote or a pre-vote."""
        state = self._shared_state
        if self._has_recent_leader_contact(now) and state.leader != source:
            # Neither vote nor adopt a later term within an election timeout of contact with a leader (4.2.3).
            state.send(source, RequestVoteReply(state.term, False, request.pre))
            return
        if request.term > state.term and not request.pre:
            self.become_follower(now, request.term, "a later term was observed")
        last = state.log.last_position
        is_up_to_date = (request.last_term, request.last_index) >= (last.term, last.log_index)  # 3.6.1
        if request.pre:
            granted = is_up_to_date and request.term > state.term
            reply_term = request.term if granted else state.term
            state.send(source, RequestVoteReply(reply_term, granted, True))
            return
        granted = is_up_to_date and request.term == state.term and state.voted_for in ("", source)
        if granted:
            self._grant_vote(now, source)
        state.send(source, RequestVoteReply(state.term, granted, False))

    def handle_vote_reply(self, now: float, source: str, reply: RequestVoteReply) -> bool:
        """Process the reply to a request for a vote or a pre-vote.

        Returns:
            Whether this vote wins the election.
        """
        state = self._shared_state
        expected_role = RaftRole.PRE_CANDIDATE if reply.pre else RaftRole.CANDIDATE
        expected_term = state.term + 1 if reply.pre else state.term
        if state.role is expected_role and reply.granted and reply.term == expected_term:
            self._votes.add(source)
            return self._count_votes(now)
        is_refusal = not reply.pre and not reply.granted and reply.term == state.term
        if state.role is RaftRole.CANDIDATE and is_refusal:
            # Another candidate got the vote in the same term. Retry after a short random delay: without it,
            # two simultaneous candidates leave the cluster without a leader for a full election timeout.
            retry_ms = now + state.timing.election_timeout_ms * self._rng.uniform(*SPLIT_VOTE_RETRY_FACTORS)
            self.deadline_ms = min(self.deadline_ms, retry_ms)
        return False

    def become_follower(self, now: float, term: int, reason: str) -> None:
        """Become a follower without a known leader, in the current term or a later one."""
        state = self._shared_state
        if term > state.term:
            state.term = term
            state.voted_for = ""
            state.persist()
        state.role = RaftRole.FOLLOWER
        self.deadline_ms = self.draw_deadline_ms(now)
        state.set_leader("", reason)

    def step_down(self, now: float, reason: str) -> None:
        """Stop leading, and let the other members elect a leader first.

        Stickiness applies to the former leader as to its followers: leases rely on no vote for another
        candidate within an election timeout.
        """
        state = self._shared_state
        self.become_follower(now, state.term, reason)
        self._leader_contact_ms = now
        self.deadline_ms = now + STEP_DOWN_TIMEOUT_FACTOR * state.timing.election_timeout_ms

    def step_down_without_quorum(self, now: float) -> None:
        """Stop leading, because no majority has replied within the quorum timeout (6.2).

        Stickiness applies to the former leader as to its followers. A majority has last replied to heartbeats
        sent a quorum timeout ago or earlier, and leases may rely on these for the rest of an election
        timeout.
        """
        self.become_follower(now, self._shared_state.term, "no quorum of heartbeat replies")
        self._leader_contact_ms = now - self._shared_state.timing.quorum_timeout_ms

    def observe_leader(self, now: float, leader: str) -> None:
        """Follow the leader of the current term after a message from it."""
        self._shared_state.role = RaftRole.FOLLOWER
        self._leader_contact_ms = now
        self.deadline_ms = self.draw_deadline_ms(now)
        self._shared_state.set_leader(leader, "leader contact")

    def _has_recent_leader_contact(self, now: float) -> bool:
        state = self._shared_state
        return (
            state.role is RaftRole.LEADER or now < self._leader_contact_ms + state.timing.election_timeout_ms
        )

    def _grant_vote(self, now: float, candidate: str) -> None:
        state = self._shared_state
        if not state.voted_for:
            state.voted_for = candidate
            state.persist()
        self.deadline_ms = self.draw_deadline_ms(now)

    def _count_votes(self, now: float) -> bool:
        state = self._shared_state
        if not state.has_quorum(self._votes):
            return False
        if state.role is RaftRole.PRE_CANDIDATE:
            return self.campaign(now, pre_vote=False)
        return state.role is RaftRole.CANDIDATE
