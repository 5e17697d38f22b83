"""Candidates for calls, drawn from the membership table."""

from collections.abc import Callable, Sequence

import trio

from umberdrum import peerlink, routing
from umberdrum.membership import _record, _subset, _table

UNREACHABLE_SECONDS = 1.0
MAX_REMEMBERED_PEERS = 4096


class MembershipDirectory:
    """Endpoints of each service that take new calls, a subset of those of a large one.

    The lists are rebuilt only when the table changes. A daemon that did not answer a
    call counts as suspected here for ``UNREACHABLE_SECONDS``, before gossip knows.
    """

    def __init__(
        self,
        table: _table.MembershipTable,
        request_probe: Callable[[str], None] | None = None,
    ) -> None:
        self._table = table
        self._request_probe = request_probe
        self._generation = -1
        self._by_service: dict[str, list[routing.Candidate]] = {}
        self._peers: dict[str, peerlink.PeerAddress] = {}
        self._live_keys: frozenset[str] = frozenset()
        self._unreachable_until: dict[str, float] = {}

    def list_candidates(self, service: str) -> Sequence[routing.Candidate]:
        """Return the endpoints of ``service`` that take new calls."""
        if self._generation != self._table.generation:
            self._rebuild()
        if self._unreachable_until:
            self._expire_unreachable()
        return self._by_service.get(service, ())

    def list_keys(self) -> frozenset[str]:
        """Return the keys of all endpoints that take new calls."""
        if self._generation != self._table.generation:
            self._rebuild()
        return self._live_keys

    def get_peer(self, key: str) -> peerlink.PeerAddress:
        """Return where the daemon of the candidate ``key`` is reached."""
        return self._peers[key]

    def mark_unreachable(self, key: str) -> None:
        """Prefer other endpoints for a moment and have this one probed."""
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
        for record in self._table.records:
            if record.state is not _record.RecordState.SERVING or record.is_final:
                continue
            by_service.setdefault(record.service, []).append(record)
        own_id = self._table.own.endpoint_id
        self._by_service = {}
        peers: dict[str, peerlink.PeerAddress] = {}
        for service, records in by_service.items():
            candidates: list[routing.Candidate] = []
            for record in _subset.choose_subset(own_id, records):
                candidates.append(self._build_candidate(record))
                peers[record.key] = peerlink.PeerAddress(
                    record.address, record.process_id
                )
            self._by_service[service] = candidates
        self._live_keys = frozenset(peers)
        # A call that chose an endpoint before this moment may still ask for its peer.
        earlier = self._peers if len(self._peers) < MAX_REMEMBERED_PEERS else {}
        self._peers = {**earlier, **peers}
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
