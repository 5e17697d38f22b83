"""State of the target gate: queued calls, classes and the protocol of its limit."""

from typing import Protocol

import trio

from umberdrum import errors
from umberdrum.admission import _gate, _limit


class OccupancyLimit(_limit.SlotLimit, Protocol):
    """Slot limit that estimates slowness from the number of concurrent calls.

    Slowness is the service time divided by the undisturbed service time.
    """

    def get_slowness(self, n_running: int) -> float:
        """Return the mean slowness of calls that begin as the last of ``n_running``."""

    def claim_trial(self) -> bool:
        """Return whether this call may exceed the limit as a trial, and count it."""


class Waiter:
    """A queued call; ``event`` is set when it gets a slot or is refused."""

    __slots__ = ("event", "failure", "request", "ticket")

    def __init__(self, request: _gate.AdmissionRequest) -> None:
        self.request = request
        self.event = trio.Event()
        self.failure: errors.Failure | None = None
        self.ticket: _gate.SlotTicket | None = None


class ClassState:
    """Running calls and undisturbed service time of one class at this endpoint."""

    __slots__ = ("last_seen_at", "mean_seconds", "n_running", "target_latency_ms")

    def __init__(self, target_latency_ms: int) -> None:
        self.n_running = 0
        self.mean_seconds = 0.0
        self.target_latency_ms = target_latency_ms
        self.last_seen_at = 0.0
