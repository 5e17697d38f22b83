"""Measures the sizes of a daemon's data in memory and on the wire."""

import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from umberdrum import classes, membership, outcomes

N_RECORDS = 560
N_CLASSES = 440
N_SERVICES = 110
N_REQUESTS = 10_000


class SizeRow(NamedTuple):
    """Mean size of one item in bytes."""

    item: str
    n_bytes: float


def measure_sizes() -> list[SizeRow]:
    """Return the sizes; ``tracemalloc`` counts the memory."""
    record = build_record(0)
    entry = build_entry(0)
    return [
        SizeRow("record on the wire", membership.encode_record(record).ByteSize()),
        SizeRow("class document", len(entry.document)),
        SizeRow("record in memory", _measure_memory(build_table) / N_RECORDS),
        SizeRow("class in memory", _measure_memory(build_catalog) / N_CLASSES),
        SizeRow("request id in memory", _measure_memory(build_outcomes) / N_REQUESTS),
    ]


def build_record(index: int) -> membership.EndpointRecord:
    """Return an endpoint record of typical length."""
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
    """Return a catalog entry of typical length."""
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
    """Return a membership table of the expected production size."""
    own = build_record(0)._replace(endpoint_id="10.0.0.1:7000")
    table = membership.MembershipTable(own)
    for index in range(N_RECORDS):
        # Records are decoded one by one because those from the wire share no strings.
        message = membership.encode_record(build_record(index))
        table.merge([membership.decode_record(message).ok], 0.0)
    return table


def build_catalog() -> classes.Catalog:
    """Return a catalog of the expected production size."""
    return classes.Catalog().merge([build_entry(index) for index in range(N_CLASSES)])


def build_outcomes() -> outcomes.OutcomeRecord:
    """Return the outcomes of many finished requests without stored answers."""
    record = outcomes.OutcomeRecord()
    for index in range(N_REQUESTS):
        request_id = f"{index:032x}"
        record.admit(request_id, 0.0)
        record.begin(request_id, 0.0)
        record.finish(request_id, None, 0.0)
    return record


def _measure_memory(build: Callable[[], object]) -> int:
    """Return the bytes that the value returned by ``build`` holds."""
    tracemalloc.start()
    held = build()
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return n_bytes
