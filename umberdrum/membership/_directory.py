"""Directory of the endpoints that calls may be routed to."""

from collections.abc import Callable, Sequence

import trio

from umberdrum import peerlink, routing
from umberdrum.membership import _record, _subset, _table

UNREACHABLE_SECONDS = 1.0
MAX_REMEMBERED_PEERS = 4096


class MembershipDirectory:
    """Lists the endpoints of each service that accept new calls.

    Endpoints in drained availability zones are left out. A service with more than
    ``MAX_SUBSET`` endpoints is reduced to a subset; with ``prefers_own_zone`` more of
    its members are in the daemon's own zone. The lists
    are rebuilt only when the table changes. A daemon that did not answer a call counts
    as suspected here for ``UNREACHABLE_SECONDS``, before gossip detects the failure.
    """

    def __init__(
        self,
        table: _table.MembershipTable,
        request_probe: Callable[[str], None] | None = None,
        prefers_own_zone: bool = False,
    ) -> None:
        self._preferred_zone = table.own.availability_zone if prefers_own_zone else None
        self._table = table
        self._request_probe = request_probe
        self._generation = -1
        self._candidates: dict[str, list[routing.Candidate]] = {}
        self._peers: dict[str, peerlink.PeerAddress] = {}
        self._serving_keys: frozenset[str] = frozenset()
        self._unreachable_until: dict[str, float] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._drained_services: frozenset[str] = frozenset()

    def set_drained_zones(self, zones: frozenset[str]) -> None:
        """Leave out the endpoints of these availability zones from now on."""
        self._drained_zones = zones
        self._generation = -1

    def is_drained(self, service: str) -> bool:
        """Return whether ``service`` has endpoints, but only in drained zones."""
        if self._generation != self._table.generation:
            self._rebuild()
        return service in self._drained_services

    def list_candidates(self, service: str) -> Sequence[routing.Candidate]:
        """Return the endpoints of ``service`` that accept new calls."""
        if self._generation != self._table.generation:
            self._rebuild()
        if self._unreachable_until:
            self._expire_unreachable()
        return self._candidates.get(service, ())

    def list_keys(self) -> frozenset[str]:
        """Return the keys of the listed endpoints of all services."""
        if self._generation != self._table.generation:
            self._rebuild()
        return self._serving_keys

    def get_peer(self, key: str) -> peerlink.PeerAddress:
        """Return the peer address of candidate ``key``; raises ``KeyError``."""
        return self._peers[key]

    def mark_unreachable(self, key: str) -> None:
        """Treat an endpoint as suspected for a short time and request a probe of it."""
        until = trio.current_time() + UNREACHABLE_SECONDS
        self._unreachable_until[key] = until
        self._generation = -1
        if self._request_probe is not None:
            self._request_probe(key.partition("/")[0])

    def _expire_unreachable(self) -> None:
        now = trio.current_time()
        expired = [key for key, at in self._unreachable_until.items() if at <= now]
        for key in expired:
            del self._unreachable_until[key]
        if expired:
            self._rebuild()

    def _rebuild(self) -> None:
        by_service: dict[str, list[_record.EndpointRecord]] = {}
        drained: dict[str, list[_record.EndpointRecord]] = {}
        for record in self._table.records:
            if record.state is not _record.RecordState.SERVING or record.is_final:
                continue
            is_drained = record.availability_zone in self._drained_zones
            (drained if is_drained else by_service).setdefault(
                record.service, []
            ).append(record)
        self._drained_services = frozenset(drained.keys() - by_service.keys())
        own_id = self._table.own.endpoint_id
        self._candidates = {}
        peers: dict[str, peerlink.PeerAddress] = {}
        for service, records in by_service.items():
            candidates: list[routing.Candidate] = []
            for record in _subset.choose_subset(own_id, records, self._preferred_zone):
                candidates.append(self._build_candidate(record))
                peers[record.key] = peerlink.PeerAddress(
                    record.address, record.process_id
                )
            self._candidates[service] = candidates
        self._serving_keys = frozenset(peers)
        # A call that selected an endpoint before the rebuild may still need its peer.
        previous = self._peers if len(self._peers) < MAX_REMEMBERED_PEERS else {}
        self._peers = {**previous, **peers}
        self._generation = self._table.generation

    def _build_candidate(self, record: _record.EndpointRecord) -> routing.Candidate:
        is_suspected = record.is_suspected or record.key in self._unreachable_until
        return routing.Candidate(
            record.key,
            record.availability_zone,
            record.region,
            record.n_slots,
            record.endpoint_id == self._table.own.endpoint_id,
            is_suspected,
        )
