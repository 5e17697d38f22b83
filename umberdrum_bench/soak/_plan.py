"""Faults of one soak, drawn from its seed."""

import enum
import pathlib
import random
from typing import NamedTuple

MEAN_GAP_SECONDS = 0.7
SERIES_SHARE = 0.25
MAX_SERIES = 4
SERIES_GAP_SECONDS = 0.6


class FaultKind(enum.Enum):
    """What a fault does; the value is its name in plans and logs."""

    KILL_DAEMON = "kill-daemon"
    STOP_DAEMON = "stop-daemon"
    PAUSE_DAEMON = "pause-daemon"
    RELOAD_DAEMON = "reload-daemon"
    KILL_UPSTREAM = "kill-upstream"
    DRAIN_UPSTREAM = "drain-upstream"
    SLOW_UPSTREAM = "slow-upstream"
    FAIL_UPSTREAM = "fail-upstream"
    LOSE_ENDPOINT = "lose-endpoint"
    LOSE_ALL = "lose-all"
    DELAY_LINK = "delay-link"
    RESET_LINK = "reset-link"
    SILENCE_LINK = "silence-link"
    CUT_LINK_IN = "cut-link-in"
    CUT_LINK_OUT = "cut-link-out"
    CUT_LINK = "cut-link"
    CUT_STORE_LINK = "cut-store-link"
    RESET_STORE_LINK = "reset-store-link"
    STOP_STORE = "stop-store"
    SLOW_STORE = "slow-store"
    LOSE_STORE_ANSWERS = "lose-store-answers"
    COMPACT_STORE = "compact-store"
    LAPSE_LEASES = "lapse-leases"
    CHANGE_TARGET = "change-target"


class _KindPlan(NamedTuple):
    """How often a kind is drawn and how long it lasts, in seconds."""

    kind: FaultKind
    weight: float
    min_seconds: float
    max_seconds: float


_KIND_PLANS = (
    _KindPlan(FaultKind.KILL_DAEMON, 1.0, 0.2, 3.0),
    _KindPlan(FaultKind.STOP_DAEMON, 1.0, 0.2, 3.0),
    _KindPlan(FaultKind.PAUSE_DAEMON, 1.0, 0.1, 4.0),
    _KindPlan(FaultKind.RELOAD_DAEMON, 1.0, 0.0, 0.0),
    _KindPlan(FaultKind.KILL_UPSTREAM, 1.0, 0.2, 3.0),
    _KindPlan(FaultKind.DRAIN_UPSTREAM, 1.0, 0.5, 2.0),
    _KindPlan(FaultKind.SLOW_UPSTREAM, 1.0, 0.5, 4.0),
    _KindPlan(FaultKind.FAIL_UPSTREAM, 0.5, 0.5, 3.0),
    _KindPlan(FaultKind.LOSE_ENDPOINT, 1.0, 0.2, 3.0),
    _KindPlan(FaultKind.LOSE_ALL, 0.15, 0.2, 1.0),
    _KindPlan(FaultKind.DELAY_LINK, 0.7, 0.5, 4.0),
    _KindPlan(FaultKind.RESET_LINK, 1.0, 0.0, 0.0),
    _KindPlan(FaultKind.SILENCE_LINK, 1.0, 0.0, 0.0),
    _KindPlan(FaultKind.CUT_LINK_IN, 0.7, 0.3, 4.0),
    _KindPlan(FaultKind.CUT_LINK_OUT, 0.7, 0.3, 4.0),
    _KindPlan(FaultKind.CUT_LINK, 0.7, 0.3, 4.0),
    _KindPlan(FaultKind.CUT_STORE_LINK, 0.7, 0.3, 5.0),
    _KindPlan(FaultKind.RESET_STORE_LINK, 0.7, 0.0, 0.0),
    _KindPlan(FaultKind.STOP_STORE, 0.6, 0.3, 5.0),
    _KindPlan(FaultKind.SLOW_STORE, 0.5, 0.5, 5.0),
    _KindPlan(FaultKind.LOSE_STORE_ANSWERS, 0.7, 0.0, 0.0),
    _KindPlan(FaultKind.COMPACT_STORE, 0.5, 0.0, 0.0),
    _KindPlan(FaultKind.LAPSE_LEASES, 0.4, 0.0, 0.0),
    _KindPlan(FaultKind.CHANGE_TARGET, 2.0, 0.0, 0.0),
)


class SoakOptions(NamedTuple):
    """One soak: its seed, size, time under faults and where its files go."""

    seed: int
    n_endpoints: int
    seconds: float
    directory: pathlib.Path
    base_port: int


class SoakFault(NamedTuple):
    """Fault at a moment, in seconds from the start of the load.

    ``position`` is the endpoint that it strikes where it strikes one; ``seconds`` is
    how long it lasts or, after a kill or stop, until the restart.
    """

    at_seconds: float
    kind: FaultKind
    position: int
    seconds: float


def draw_plan(options: SoakOptions) -> tuple[SoakFault, ...]:
    """Return the faults of a soak in the order of time.

    Faults come at random moments, overlap, and some come in series at one endpoint. The
    same options give the same plan.
    """
    rng = random.Random(options.seed)
    weights = [row.weight for row in _KIND_PLANS]
    faults: list[SoakFault] = []
    at_seconds = rng.expovariate(1.0 / MEAN_GAP_SECONDS)
    while at_seconds < options.seconds:
        row = rng.choices(_KIND_PLANS, weights)[0]
        position = rng.randrange(options.n_endpoints)
        n_repeats = 1
        if rng.random() < SERIES_SHARE:
            n_repeats = rng.randint(2, MAX_SERIES)
        repeat_at = at_seconds
        for _ in range(n_repeats):
            seconds = rng.uniform(row.min_seconds, row.max_seconds)
            faults.append(SoakFault(repeat_at, row.kind, position, seconds))
            repeat_at += rng.uniform(0.0, SERIES_GAP_SECONDS)
        at_seconds += rng.expovariate(1.0 / MEAN_GAP_SECONDS)
    return tuple(sorted(faults, key=_get_moment))


def _get_moment(fault: SoakFault) -> float:
    return fault.at_seconds
