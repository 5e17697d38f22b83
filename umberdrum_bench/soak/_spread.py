"""Checks that accepted changes are in force in time, and never go back."""

from collections.abc import Mapping
from typing import NamedTuple

# The users' bounds: the time from the store's acknowledgement until a change is in
# force, and the undisturbed time after which the bound holds for a daemon.
CHANGE_SECONDS = 2.0
ZONE_DRAIN_SECONDS = 5.0
CONTACT_SECONDS = 3.0


class DaemonState(NamedTuple):
    """What one daemon process reported when it was asked at ``asked_at``.

    ``versions`` maps documents to the revisions or versions in force.
    """

    position: int
    process_id: int
    asked_at: float
    is_contact: bool
    versions: Mapping[str, int]
    drained_zones: frozenset[str]


class _Change(NamedTuple):
    """Version of a document and the time of the store's acknowledgement."""

    name: str
    version: int
    accepted_at: float


class _ZoneOrder:
    """Order to drain or restore a zone; ``accepted_at`` is None without an answer."""

    __slots__ = ("accepted_at", "is_drained")

    def __init__(self, is_drained: bool) -> None:
        self.is_drained = is_drained
        self.accepted_at: float | None = None


class Disturbances:
    """Periods during which something was disturbed; they may overlap."""

    def __init__(self) -> None:
        self._n_active = 0
        self._ended_at = -CONTACT_SECONDS

    def begin(self) -> None:
        """Record that a disturbance begins."""
        self._n_active += 1

    def end(self, now: float) -> None:
        """Record that a disturbance ends."""
        self._n_active -= 1
        self._ended_at = now

    def is_calm(self, now: float) -> bool:
        """Return whether nothing was disturbed for ``CONTACT_SECONDS``."""
        return not self._n_active and now - self._ended_at >= CONTACT_SECONDS


class SpreadChecker:
    """Compares what daemons report with the changes that the store has accepted.

    Late changes count only at a daemon that is in touch: for ``CONTACT_SECONDS`` its
    process and its links to peers were not disturbed, and neither was its way to the
    store, as the users say. A daemon without the store is in touch, too, if that holds
    for a contact. Links that are silent or were reset, other daemons that are paused or
    end, and a store that is slow or loses its history are no excuse.

    ``processes`` and ``store_paths`` hold the disturbances by position.
    """

    def __init__(self, n_daemons: int) -> None:
        self.processes = [Disturbances() for _ in range(n_daemons)]
        self.store_paths = [Disturbances() for _ in range(n_daemons)]
        self.n_judged = 0
        self._changes: list[_Change] = []
        self._zone_orders: dict[str, list[_ZoneOrder]] = {}
        # By position: the process that is a contact, and since when.
        self._contacts: dict[int, tuple[int, float]] = {}
        # By process: the last version of each document, and the index of the order that
        # each zone's state shows.
        self._versions: dict[int, dict[str, int]] = {}
        self._zone_indexes: dict[tuple[int, str], int] = {}
        self._regressed_zones: set[tuple[int, str]] = set()
        self._judged: set[tuple[int, str, int]] = set()
        self._reported: set[tuple[int, str, int]] = set()

    def record_change(self, name: str, version: int, now: float) -> None:
        """Record that the store has accepted a version of a document."""
        self._changes.append(_Change(name, version, now))

    def record_zone_order(self, zone: str, is_drained: bool) -> None:
        """Record that an order for a zone is sent to the store."""
        orders = self._zone_orders.setdefault(zone, [_ZoneOrder(False)])
        if orders[-1].is_drained != is_drained:
            orders.append(_ZoneOrder(is_drained))

    def record_zone_acceptance(self, zone: str, now: float) -> None:
        """Record that the store has accepted the last order for a zone."""
        order = self._zone_orders[zone][-1]
        if order.accepted_at is None:
            order.accepted_at = now

    def list_contacts(self) -> list[int]:
        """Return the positions of the daemons that last reported to be contacts."""
        return sorted(self._contacts)

    def check_state(self, state: DaemonState) -> list[str]:
        """Return the violations that a daemon's report shows, each of them once."""
        self._record_contact(state)
        violations = self._check_order(state)
        violations += self._check_zone_order(state)
        # A process that has no documents yet refuses calls: no older version binds it.
        if any(state.versions.values()) and self._is_in_touch(state):
            violations += self._check_changes(state)
            violations += self._check_zone_drains(state)
        return violations

    def describe_missing(self, state: DaemonState) -> str:
        """Return what a daemon lacks of all accepted changes, empty if nothing."""
        for change in self._changes:
            version = state.versions.get(change.name, 0)
            if version < change.version:
                return f"has {change.name} at {version}, not {change.version}"
        for zone, orders in self._zone_orders.items():
            is_drained = zone in state.drained_zones
            if orders[-1].accepted_at is not None and (
                is_drained != orders[-1].is_drained
            ):
                return f"has another state of zone {zone} than ordered"
        return ""

    def _record_contact(self, state: DaemonState) -> None:
        if not state.is_contact:
            self._contacts.pop(state.position, None)
            return
        process_id, _ = self._contacts.get(state.position, (0, 0.0))
        if process_id != state.process_id:
            self._contacts[state.position] = (state.process_id, state.asked_at)

    def _is_in_touch(self, state: DaemonState) -> bool:
        now = state.asked_at
        if not self.processes[state.position].is_calm(now):
            return False
        if self.store_paths[state.position].is_calm(now):
            return True
        return any(
            self.processes[position].is_calm(now)
            and self.store_paths[position].is_calm(now)
            and now - since >= CONTACT_SECONDS
            for position, (_, since) in self._contacts.items()
        )

    def _check_order(self, state: DaemonState) -> list[str]:
        """Return the documents that went back within the process's lifetime."""
        violations: list[str] = []
        last = self._versions.setdefault(state.process_id, {})
        for name in {*last, *state.versions}:
            version = state.versions.get(name, 0)
            if version < last.get(name, 0):
                violations.append(
                    f"regress: daemon {state.position} went from {name} "
                    f"{last[name]} back to {version}"
                )
            last[name] = version
        return violations

    def _check_zone_order(self, state: DaemonState) -> list[str]:
        """Return the zones whose state no order explains that was sent by now."""
        violations: list[str] = []
        for zone, orders in self._zone_orders.items():
            is_drained = zone in state.drained_zones
            index = self._zone_indexes.get((state.process_id, zone), 0)
            while index < len(orders) and orders[index].is_drained != is_drained:
                index += 1
            if index == len(orders):
                if (state.process_id, zone) in self._regressed_zones:
                    continue
                self._regressed_zones.add((state.process_id, zone))
                violations.append(
                    f"regress: daemon {state.position} went back to "
                    f"{_describe_zone(zone, is_drained)}"
                )
                continue
            self._zone_indexes[state.process_id, zone] = index
        return violations

    def _check_changes(self, state: DaemonState) -> list[str]:
        violations: list[str] = []
        for change in self._changes:
            if state.asked_at - change.accepted_at <= CHANGE_SECONDS:
                continue
            version = state.versions.get(change.name, 0)
            key = (state.position, change.name, change.version)
            is_in_force = version >= change.version
            if self._judge(key, is_in_force):
                violations.append(
                    f"spread: daemon {state.position} has {change.name} at "
                    f"{version}, {state.asked_at - change.accepted_at:.2f} s after "
                    f"{change.version} was accepted"
                )
        return violations

    def _check_zone_drains(self, state: DaemonState) -> list[str]:
        violations: list[str] = []
        for zone, orders in self._zone_orders.items():
            accepted_at = orders[-1].accepted_at
            if not orders[-1].is_drained or accepted_at is None:
                continue
            if state.asked_at - accepted_at <= ZONE_DRAIN_SECONDS:
                continue
            key = (state.position, zone, len(orders))
            if self._judge(key, zone in state.drained_zones):
                violations.append(
                    f"spread: daemon {state.position} has not drained zone {zone} "
                    f"{state.asked_at - accepted_at:.2f} s after the order"
                )
        return violations

    def _judge(self, key: tuple[int, str, int], is_in_force: bool) -> bool:
        """Count a judged change, and return whether it is late for the first time."""
        if key not in self._judged:
            self._judged.add(key)
            self.n_judged += 1
        if is_in_force or key in self._reported:
            return False
        self._reported.add(key)
        return True


def _describe_zone(zone: str, is_drained: bool) -> str:
    return f"zone {zone} {'drained' if is_drained else 'in service'}"
