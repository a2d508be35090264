"""How much is forgiven before a rule counts as broken, and what a broken rule looks like. Pure."""

from __future__ import annotations

from typing import Self

from msgspec import Struct


class Breach(Struct, frozen=True):
    """A rule that the event log shows broken."""

    rule: str  # one of `RULES`
    at_ms: float  # since the day began: when it was broken
    operation: str  # its id; empty where no single one is concerned
    what: str  # one sentence for people, with times, nodes and the sidecar


class Grace(Struct, frozen=True):
    """Tolerances in ms, on top of the rules' own figures and of what the network needs at most.

    The defaults are the virtual ground's, where only the order of events within an instant is open. On real
    sockets every time limit is 50 ms longer, as the protocol has it, and what has no limit in the rules
    (passing on, closing) has to allow for a machine shared by all parties.
    """

    extra_ms: float = 5.0  # on each time limit of the rules: answer slack, drain grace, keys' window
    passing_ms: float = 50.0  # from knowing how an operation ends to its answer
    cancel_ms: float = 100.0  # from an operation's end to the close of its attempts
    after_end_ms: float = 10.0  # from an operation's end to the last attempt that may be under way
    early_ms: float = 0.05  # how much sooner than the way allows something may seem to be known
    resume_ms: float = 20.0  # after a stall, until what piled up is dealt with
    fault_ms: float = 1.0  # how far from its time the lab may carry out a change
    death_ms: float = 1.0  # how much later than its connections' end a process's exit may be entered
    lag_ms: float = 5.0  # lateness of the lab itself that counts
    exit_ms: float = 50.0  # at a planned stop, on top of what the protocol gives
    start_ms: float = 5000.0  # from a start until it is ready
    deemed_ms: float = 6000.0  # what discovery has to tell counts as told so much later in any case
    born_ms: float = 2.0  # how far two words of one start may differ (discovery tells whole ms)
    cold_share: float = 0.1  # of a cold node's budget, for chance

    @classmethod
    def virtual(cls) -> Self:
        """For days in simulated time."""
        return cls()

    @classmethod
    def real(cls) -> Self:
        """For days on real sockets."""
        return cls(
            extra_ms=50.0,
            passing_ms=150.0,
            cancel_ms=300.0,
            after_end_ms=100.0,
            early_ms=20.0,
            resume_ms=250.0,
            fault_ms=50.0,
            death_ms=250.0,
            lag_ms=20.0,
            exit_ms=500.0,
        )


RULES = {
    "answer-none": "an operation taken by a sidecar that lived got no final answer before its client's time "
    "was over",
    "answer-late": "the final answer came after the client's time plus slack",
    "answer-twice": "bytes of a second answer",
    "answer-held": "what was known (a node's 200; that nothing more may be tried) was passed on late",
    "body": "a 200 without a body that a node made for that very operation",
    "changed": "method, path, id, key or body differ at the node from what the till sent, or no till sent it",
    "ran-twice": "more effects than the class, its cell and its window allow",
    "resent": "an attempt that the class, cell or window forbids, whether or not it ran",
    "refused": "a busy reply for what may have run and may not be repeated",
    "second-copy": "two attempts out together where that is not allowed",
    "attempts": "more attempts than allowed",
    "after-end": "an attempt sent after the final answer",
    "cancel-lost": "an attempt left out after its operation was over",
    "drained": "something new sent to a node after the grace, counted from the first byte handed over",
    "unnamed": "something sent to a node that discovery never named to that sidecar",
    "cold": "more work sent to a cold node, by all sidecars together, than its budget in any window",
    "staff": "a drain that does not show, figures late or untrue, a replaced process that does not end",
    "process": "a sidecar that died, hung at its end, or ended with another code than 0",
}
"""Each rule in a sentence, as in the design note's table."""
