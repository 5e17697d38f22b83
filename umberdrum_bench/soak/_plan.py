"""Random fault plan of one soak, determined by its seed."""

import enum
import pathlib
import random
from typing import NamedTuple

MEAN_FAULT_INTERVAL_SECONDS = 0.7
SERIES_SHARE = 0.25
MAX_SERIES_LENGTH = 4
MAX_SERIES_INTERVAL_SECONDS = 0.6
ZONE_DRAIN_SHARE = 0.4
MEAN_CHANGE_INTERVAL_SECONDS = 1.2
TROUBLE_SHARE = 0.7
MAX_TROUBLE_LEAD_SECONDS = 0.2
MAX_TROUBLE_DELAY_SECONDS = 0.15
CONTACT_LOSS_SHARE = 0.5
MAX_CONTACT_LOSS_LEAD_SECONDS = 0.8
MAX_SECONDS_SINCE_ZONE_DRAIN = 3.0
# Every third seed uses request classes, the others a route table.
CLASS_SEED_INTERVAL = 3


class FaultKind(enum.Enum):
    """Kind of a fault; the value is its name in plans and logs."""

    KILL_DAEMON = "kill-daemon"
    STOP_DAEMON = "stop-daemon"
    PAUSE_DAEMON = "pause-daemon"
    RELOAD_DAEMON = "reload-daemon"
    KILL_UPSTREAM = "kill-upstream"
    DRAIN_UPSTREAM = "drain-upstream"
    SLOW_UPSTREAM = "slow-upstream"
    FAIL_UPSTREAM = "fail-upstream"
    LIMIT_UPSTREAM = "limit-upstream"
    LEAVE_UPSTREAM = "leave-upstream"
    CRASH_UPSTREAMS = "crash-upstreams"
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
    DRAIN_ZONE = "drain-zone"
    CHANGE_DOCUMENT = "change-document"
    SILENCE_ALL_LINKS = "silence-all-links"
    KILL_CONTACT = "kill-contact"
    TURN_AWAY_ZONE = "turn-away-zone"
    KILL_CONTACTS = "kill-contacts"
    PAUSE_CONTACTS = "pause-contacts"
    CUT_OFF_CONTACTS = "cut-off-contacts"


class _FaultProfile(NamedTuple):
    """Relative frequency of a kind and the range of its duration in seconds."""

    kind: FaultKind
    weight: float
    min_seconds: float
    max_seconds: float


_FAULT_PROFILES = (
    _FaultProfile(FaultKind.KILL_DAEMON, 1.0, 0.2, 3.0),
    _FaultProfile(FaultKind.STOP_DAEMON, 1.0, 0.2, 3.0),
    _FaultProfile(FaultKind.PAUSE_DAEMON, 1.0, 0.1, 4.0),
    _FaultProfile(FaultKind.RELOAD_DAEMON, 1.0, 0.0, 0.0),
    _FaultProfile(FaultKind.KILL_UPSTREAM, 1.0, 0.2, 3.0),
    _FaultProfile(FaultKind.DRAIN_UPSTREAM, 1.0, 0.5, 2.0),
    _FaultProfile(FaultKind.SLOW_UPSTREAM, 1.0, 0.5, 4.0),
    _FaultProfile(FaultKind.FAIL_UPSTREAM, 0.5, 0.5, 3.0),
    _FaultProfile(FaultKind.LIMIT_UPSTREAM, 1.0, 1.0, 5.0),
    _FaultProfile(FaultKind.LEAVE_UPSTREAM, 1.0, 0.5, 2.0),
    _FaultProfile(FaultKind.CRASH_UPSTREAMS, 0.4, 0.2, 3.0),
    _FaultProfile(FaultKind.LOSE_ENDPOINT, 1.0, 0.2, 3.0),
    _FaultProfile(FaultKind.LOSE_ALL, 0.15, 0.2, 1.0),
    _FaultProfile(FaultKind.DELAY_LINK, 0.7, 0.5, 4.0),
    _FaultProfile(FaultKind.RESET_LINK, 1.0, 0.0, 0.0),
    _FaultProfile(FaultKind.SILENCE_LINK, 1.0, 0.0, 0.0),
    _FaultProfile(FaultKind.CUT_LINK_IN, 0.7, 0.3, 4.0),
    _FaultProfile(FaultKind.CUT_LINK_OUT, 0.7, 0.3, 4.0),
    _FaultProfile(FaultKind.CUT_LINK, 0.7, 0.3, 4.0),
    _FaultProfile(FaultKind.CUT_STORE_LINK, 0.7, 0.3, 5.0),
    _FaultProfile(FaultKind.RESET_STORE_LINK, 0.7, 0.0, 0.0),
    _FaultProfile(FaultKind.STOP_STORE, 0.6, 0.3, 5.0),
    _FaultProfile(FaultKind.SLOW_STORE, 0.5, 0.5, 5.0),
    _FaultProfile(FaultKind.LOSE_STORE_ANSWERS, 0.7, 0.0, 0.0),
    _FaultProfile(FaultKind.COMPACT_STORE, 0.5, 0.0, 0.0),
    _FaultProfile(FaultKind.LAPSE_LEASES, 0.4, 0.0, 0.0),
    _FaultProfile(FaultKind.CHANGE_TARGET, 2.0, 0.0, 0.0),
)

# Troubles at the moment of a change, by which a document is known but not delivered.
_TROUBLE_PROFILES = (
    _FaultProfile(FaultKind.SILENCE_ALL_LINKS, 2.0, 0.0, 0.0),
    _FaultProfile(FaultKind.SILENCE_LINK, 1.0, 0.0, 0.0),
    _FaultProfile(FaultKind.PAUSE_DAEMON, 1.5, 0.5, 3.0),
    _FaultProfile(FaultKind.KILL_CONTACT, 1.0, 0.2, 2.0),
    _FaultProfile(FaultKind.TURN_AWAY_ZONE, 1.0, 1.0, 4.0),
    _FaultProfile(FaultKind.CUT_STORE_LINK, 0.7, 1.0, 4.0),
    _FaultProfile(FaultKind.SLOW_STORE, 0.4, 0.5, 2.0),
    _FaultProfile(FaultKind.STOP_STORE, 0.4, 0.3, 1.5),
)

# Ways to lose the contacts of all zones at the same time.
_CONTACT_LOSS_PROFILES = (
    _FaultProfile(FaultKind.KILL_CONTACTS, 1.0, 0.2, 2.0),
    _FaultProfile(FaultKind.PAUSE_CONTACTS, 1.0, 1.0, 4.0),
    _FaultProfile(FaultKind.CUT_OFF_CONTACTS, 1.0, 1.0, 4.0),
)


class SoakOptions(NamedTuple):
    """Options of one soak: seed, size, time under faults, directory and base port."""

    seed: int
    n_endpoints: int
    seconds: float
    directory: pathlib.Path
    base_port: int


class SoakFault(NamedTuple):
    """Fault at a time in seconds from the start of the load.

    ``position`` is the index of the affected endpoint, if the kind affects only one.
    ``seconds`` is the duration or, for a kill or stop, the time until the restart.
    """

    at_seconds: float
    kind: FaultKind
    position: int
    seconds: float


def draw_plan(options: SoakOptions) -> tuple[SoakFault, ...]:
    """Return the faults of a soak, sorted by time.

    Faults arrive as a Poisson process and may overlap; some repeat in series at one
    endpoint. The same options give the same plan.
    """
    rng = random.Random(options.seed)
    weights = [row.weight for row in _FAULT_PROFILES]
    faults: list[SoakFault] = []
    at_seconds = rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS)
    while at_seconds < options.seconds:
        row = rng.choices(_FAULT_PROFILES, weights)[0]
        position = rng.randrange(options.n_endpoints)
        n_repeats = 1
        if rng.random() < SERIES_SHARE:
            n_repeats = rng.randint(2, MAX_SERIES_LENGTH)
        repeat_at = at_seconds
        for _ in range(n_repeats):
            seconds = rng.uniform(row.min_seconds, row.max_seconds)
            faults.append(SoakFault(repeat_at, row.kind, position, seconds))
            repeat_at += rng.uniform(0.0, MAX_SERIES_INTERVAL_SECONDS)
        at_seconds += rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS)
    faults += _draw_zone_drain(options)
    faults += _draw_changes(options)
    faults += _draw_contact_loss(options)
    return tuple(sorted(faults, key=_get_start))


def _draw_zone_drain(options: SoakOptions) -> list[SoakFault]:
    """Return at most one drain of a zone.

    It has random choices of its own, so that plans of earlier seeds stay as they are.
    """
    rng = random.Random(f"zone {options.seed}")
    if rng.random() >= ZONE_DRAIN_SHARE:
        return []
    at_seconds = rng.uniform(0.0, options.seconds / 2)
    position = rng.randrange(options.n_endpoints)
    seconds = rng.uniform(0.5, 3.0)
    return [SoakFault(at_seconds, FaultKind.DRAIN_ZONE, position, seconds)]


def has_routes(seed: int) -> bool:
    """Return whether daemons of this seed use a route table in place of classes."""
    return seed % CLASS_SEED_INTERVAL != 0


def _draw_changes(options: SoakOptions) -> list[SoakFault]:
    """Return changes of documents, most of them with a trouble at that moment.

    Load pattern: a daemon learns of a change and then can't get it, because the link or
    the peer that it asks fails just then. Faults at times of their own rarely meet the
    few milliseconds in between. Like zone drains, changes have random choices of their
    own.
    """
    rng = random.Random(f"changes {options.seed}")
    weights = [row.weight for row in _TROUBLE_PROFILES]
    faults: list[SoakFault] = []
    at_seconds = rng.expovariate(1.0 / MEAN_CHANGE_INTERVAL_SECONDS)
    while at_seconds < options.seconds:
        position = rng.randrange(options.n_endpoints)
        faults.append(SoakFault(at_seconds, FaultKind.CHANGE_DOCUMENT, position, 0.0))
        if rng.random() < TROUBLE_SHARE:
            row = rng.choices(_TROUBLE_PROFILES, weights)[0]
            offset = rng.uniform(-MAX_TROUBLE_LEAD_SECONDS, MAX_TROUBLE_DELAY_SECONDS)
            seconds = rng.uniform(row.min_seconds, row.max_seconds)
            trouble_at = max(0.0, at_seconds + offset)
            faults.append(SoakFault(trouble_at, row.kind, position, seconds))
        at_seconds += rng.expovariate(1.0 / MEAN_CHANGE_INTERVAL_SECONDS)
    return faults


def _draw_contact_loss(options: SoakOptions) -> list[SoakFault]:
    """Return at most one loss of all contacts, with a change shortly after it.

    Load pattern: nobody who reads the store is left when a document changes, while a
    zone is drained if the seed drains one. It has random choices of its own.
    """
    rng = random.Random(f"contacts {options.seed}")
    if rng.random() >= CONTACT_LOSS_SHARE:
        return []
    at_seconds = rng.uniform(0.0, options.seconds)
    for drain in _draw_zone_drain(options):
        at_seconds = drain.at_seconds + rng.uniform(0.0, MAX_SECONDS_SINCE_ZONE_DRAIN)
    position = rng.randrange(options.n_endpoints)
    weights = [row.weight for row in _CONTACT_LOSS_PROFILES]
    row = rng.choices(_CONTACT_LOSS_PROFILES, weights)[0]
    seconds = rng.uniform(row.min_seconds, row.max_seconds)
    change_at = at_seconds + rng.uniform(0.0, MAX_CONTACT_LOSS_LEAD_SECONDS)
    return [
        SoakFault(at_seconds, row.kind, position, seconds),
        SoakFault(change_at, FaultKind.CHANGE_DOCUMENT, position, 0.0),
    ]


def _get_start(fault: SoakFault) -> float:
    return fault.at_seconds
