"""Request classes with latency targets, and the call policies derived from them."""

from umberdrum.classes._catalog import (
    NO_POSITION,
    Catalog,
    CatalogEntry,
    ClassWithPolicy,
    EntryPosition,
)
from umberdrum.classes._document import decode_document, encode_document
from umberdrum.classes._policy import MAX_DEADLINE_MS, CallPolicy, derive_policy
from umberdrum.classes._request_class import RequestClass, Target, check_class

__all__ = [
    "MAX_DEADLINE_MS",
    "NO_POSITION",
    "CallPolicy",
    "Catalog",
    "CatalogEntry",
    "ClassWithPolicy",
    "EntryPosition",
    "RequestClass",
    "Target",
    "check_class",
    "decode_document",
    "derive_policy",
    "encode_document",
]
