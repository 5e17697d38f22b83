"""Subset of a large service's endpoints that one daemon uses."""

import hashlib
from typing import NamedTuple

from umberdrum.membership import _record

MAX_SUBSET = 16


def choose_subset(
    own_id: str, records: list[_record.EndpointRecord]
) -> list[_record.EndpointRecord]:
    """Return at most ``MAX_SUBSET`` of the endpoints of one service.

    Each daemon ranks the endpoints by a hash of both ids (rendezvous hashing; Thaler
    and Ravishankar, 1998), so that its peers, views and connections stay bounded, load
    is spread over all endpoints by many daemons, and one endpoint that comes or goes
    changes one member of a subset. Suspected endpoints give way to others.
    """
    if len(records) <= MAX_SUBSET:
        return records
    ranked = sorted(records, key=lambda record: _get_rank(own_id, record))
    return ranked[:MAX_SUBSET]


class _Rank(NamedTuple):
    """Order in which endpoints are taken; the own one comes first of the trusted."""

    is_suspected: bool
    is_other: bool
    score: bytes


def _get_rank(own_id: str, record: _record.EndpointRecord) -> _Rank:
    pair = f"{own_id} {record.endpoint_id}".encode()
    score = hashlib.blake2b(pair, digest_size=8).digest()
    return _Rank(record.is_suspected, record.endpoint_id != own_id, score)
