"""Membership table of the cluster; each daemon writes only its own record."""

from umberdrum.membership._codec import decode_record, encode_record
from umberdrum.membership._directory import MembershipDirectory
from umberdrum.membership._record import EndpointRecord, RecordState, is_newer
from umberdrum.membership._subset import MAX_SUBSET, choose_subset
from umberdrum.membership._table import N_BUCKETS, MembershipTable

__all__ = [
    "MAX_SUBSET",
    "N_BUCKETS",
    "EndpointRecord",
    "MembershipDirectory",
    "MembershipTable",
    "RecordState",
    "choose_subset",
    "decode_record",
    "encode_record",
    "is_newer",
]
