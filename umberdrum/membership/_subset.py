"""Subsetting: limits how many endpoints of a service one daemon uses."""

import hashlib
from typing import NamedTuple

from umberdrum.membership import _record

MAX_SUBSET = 16


def choose_subset(
    own_id: str, records: list[_record.EndpointRecord]
) -> list[_record.EndpointRecord]:
    """Return at most ``MAX_SUBSET`` of the endpoints of one service.

    Each daemon ranks the endpoints by a hash of both ids (rendezvous hashing; Thaler
    and Ravishankar, 1998). This bounds the peers, load views and connections of a
    daemon. Together, many daemons spread their load over all endpoints. An endpoint
    that joins or leaves changes at most one member of each subset. Suspected endpoints
    rank last.
    """
    if len(records) <= MAX_SUBSET:
        return records
    ranked = sorted(records, key=lambda record: _compute_rank(own_id, record))
    return ranked[:MAX_SUBSET]


class _Rank(NamedTuple):
    """Sort key; this daemon's endpoint ranks first among the unsuspected ones."""

    is_suspected: bool
    is_other: bool
    score: bytes


def _compute_rank(own_id: str, record: _record.EndpointRecord) -> _Rank:
    hash_input = f"{own_id} {record.endpoint_id}".encode()
    score = hashlib.blake2b(hash_input, digest_size=8).digest()
    return _Rank(record.is_suspected, record.endpoint_id != own_id, score)
