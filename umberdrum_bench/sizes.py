"""Sizes in memory and on the wire of what a daemon keeps and sends."""

import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from umberdrum import classes, membership, outcomes

N_RECORDS = 560
N_CLASSES = 440
N_SERVICES = 110
N_REQUESTS = 10_000


class SizeRow(NamedTuple):
    """Size of one thing in bytes."""

    what: str
    n_bytes: float


def measure_sizes() -> list[SizeRow]:
    """Return the sizes, memory as ``tracemalloc`` counts it."""
    record = build_record(0)
    entry = build_entry(0)
    return [
        SizeRow("record on the wire", membership.encode_record(record).ByteSize()),
        SizeRow("class document", len(entry.document)),
        SizeRow("record in memory", _trace(build_table) / N_RECORDS),
        SizeRow("class in memory", _trace(build_catalog) / N_CLASSES),
        SizeRow("request id in memory", _trace(build_outcomes) / N_REQUESTS),
    ]


def build_record(index: int) -> membership.EndpointRecord:
    """Return a record of usual length."""
    return membership.EndpointRecord(
        f"10.100.{index // 250}.{index % 250}:7000",
        3,
        1 << 62,
        5,
        membership.RecordState.SERVING,
        False,
        "card-status",
        "tallinn",
        "estonia",
        6,
        False,
        False,
    )


def build_entry(index: int) -> classes.CatalogEntry:
    """Return a class of usual length."""
    request_class = classes.RequestClass(
        f"class-{index}",
        f"service-{index % N_SERVICES}",
        ("GET",),
        "/cards",
        True,
        classes.Target(50, 99.0),
        "a" * 32,
    )
    document = classes.encode_document(request_class)
    return classes.CatalogEntry(request_class.name, index + 1, document, False)


def build_table() -> membership.MembershipTable:
    """Return a table of the size to come."""
    own = build_record(0)._replace(endpoint_id="10.0.0.1:7000")
    table = membership.MembershipTable(own)
    for index in range(N_RECORDS):
        # Records that came over the wire share no strings.
        message = membership.encode_record(build_record(index))
        table.merge([membership.decode_record(message).ok], 0.0)
    return table


def build_catalog() -> classes.Catalog:
    """Return a catalog of the size to come."""
    return classes.Catalog().merge([build_entry(index) for index in range(N_CLASSES)])


def build_outcomes() -> outcomes.OutcomeRecord:
    """Return a record of many finished requests without kept answers."""
    record = outcomes.OutcomeRecord()
    for index in range(N_REQUESTS):
        request_id = f"{index:032x}"
        record.admit(request_id, 0.0)
        record.begin(request_id, 0.0)
        record.finish(request_id, None, 0.0)
    return record


def _trace(build: Callable[[], object]) -> int:
    """Return the memory that what ``build`` returns holds."""
    tracemalloc.start()
    kept = build()
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return n_bytes
