"""Subsetting: limits how many endpoints of a service one daemon uses."""

import hashlib
from typing import NamedTuple

from umberdrum.membership import _record

MAX_SUBSET = 16
# A daemon that keeps its calls in its zone still knows a few endpoints outside.
N_PREFERRED = 10


def choose_subset(
    own_id: str,
    records: list[_record.EndpointRecord],
    preferred_zone: str | None = None,
) -> list[_record.EndpointRecord]:
    """Return at most ``MAX_SUBSET`` of the endpoints of one service.

    Each daemon ranks the endpoints by a hash of both ids (rendezvous hashing; Thaler
    and Ravishankar, 1998). This bounds the peers, load views and connections of a
    daemon. Together, many daemons spread their load over all endpoints. An endpoint
    that joins or leaves changes at most one member of each subset. Suspected endpoints
    rank last. Up to ``N_PREFERRED`` members are taken from ``preferred_zone`` first.
    """
    if len(records) <= MAX_SUBSET:
        return records
    ranked = sorted(records, key=lambda record: _compute_rank(own_id, record))
    if preferred_zone is None:
        return ranked[:MAX_SUBSET]
    preferred: list[_record.EndpointRecord] = []
    others: list[_record.EndpointRecord] = []
    for record in ranked:
        is_preferred = record.availability_zone == preferred_zone
        if is_preferred and len(preferred) < N_PREFERRED:
            preferred.append(record)
        else:
            others.append(record)
    return (preferred + others)[:MAX_SUBSET]


class _Rank(NamedTuple):
    """Sort key; this daemon's endpoint ranks first among the unsuspected ones."""

    is_suspected: bool
    is_other: bool
    score: bytes


def _compute_rank(own_id: str, record: _record.EndpointRecord) -> _Rank:
    hash_input = f"{own_id} {record.endpoint_id}".encode()
    score = hashlib.blake2b(hash_input, digest_size=8).digest()
    return _Rank(record.is_suspected, record.endpoint_id != own_id, score)
