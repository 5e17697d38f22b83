"""Steps for the membership table, record codec and subsets."""

import collections
import random

import behave
import hypothesis
from behave import runner
from google.protobuf import message as protobuf_message
from hypothesis import strategies

from umberdrum import membership, wire
from umberdrum.tests import harness

RECORD = membership.EndpointRecord(
    "127.0.0.1:7000",
    3,
    100,
    5,
    membership.RecordState.SERVING,
    False,
    "cards",
    "az1",
    "r1",
    4,
    False,
    False,
)
OWN_RECORD = RECORD._replace(endpoint_id="127.0.0.1:1", process_id=50)


def _build_record_lists() -> strategies.SearchStrategy[list[membership.EndpointRecord]]:
    # A process writes one record per version, so the version determines the content.
    def build(
        port: int, incarnation: int, process: int, version: int, flag: int
    ) -> membership.EndpointRecord:
        state = membership.RecordState(1 + (version + process) % 3)
        return RECORD._replace(
            endpoint_id=f"127.0.0.1:{port}",
            incarnation=incarnation,
            process_id=process,
            version=version,
            state=state,
            is_suspected=flag == 1,
            is_final=flag == 2,
        )

    number = strategies.integers(min_value=1, max_value=3)
    record = strategies.builds(
        build, number, number, number, number, strategies.integers(0, 2)
    )
    return strategies.lists(record, max_size=6)


def _sort_other_records(
    table: membership.MembershipTable,
) -> list[membership.EndpointRecord]:
    return sorted(
        row for row in table.records if row.endpoint_id != OWN_RECORD.endpoint_id
    )


def _build_table(
    *batches: list[membership.EndpointRecord],
) -> membership.MembershipTable:
    table = membership.MembershipTable(OWN_RECORD._replace(endpoint_id="127.0.0.1:99"))
    # All endpoints are known, because records of unknown ones are ignored unless live.
    for port in (1, 2, 3):
        known = RECORD._replace(
            endpoint_id=f"127.0.0.1:{port}", incarnation=0, process_id=0, version=0
        )
        table.merge([known], 0.0)
    for batch in batches:
        table.merge(batch, 0.0)
    return table


@behave.then(
    "merges of random records follow these laws and never restore an older record"
)
def check_merge_laws(context: runner.Context) -> None:
    record_lists = _build_record_lists()

    @harness.PROPERTY_SETTINGS
    @hypothesis.given(record_lists, record_lists, record_lists)
    def check(
        first: list[membership.EndpointRecord],
        second: list[membership.EndpointRecord],
        third: list[membership.EndpointRecord],
    ) -> None:
        table = _build_table(first, second, third)
        reordered = _build_table(third, second, first)
        assert _sort_other_records(table) == _sort_other_records(reordered)
        assert table.digest == reordered.digest
        assert table.bucket_digests == reordered.bucket_digests
        before = {row.endpoint_id: row for row in table.records}
        table.merge(second, 1.0)
        assert _sort_other_records(table) == _sort_other_records(reordered)
        for row in table.records:
            assert not membership.is_newer(before[row.endpoint_id], row)

    check()


@behave.given("the own record at incarnation {incarnation:d} and version {version:d}")
def build_own_record(context: runner.Context, incarnation: int, version: int) -> None:
    own = OWN_RECORD._replace(incarnation=incarnation, version=version)
    context.membership_table = membership.MembershipTable(own)
    context.other_record = own


@behave.when('the table merges a record with the same id: "{other_record}"')
def merge_conflicting_record(context: runner.Context, other_record: str) -> None:
    own = context.membership_table.own
    other_records = {
        "suspected": own._replace(is_suspected=True),
        "other process, newer": own._replace(incarnation=7, process_id=9),
        "other process, final": own._replace(process_id=999, is_final=True),
        "older": own._replace(version=2, is_suspected=True),
        "earlier process, ended run": own._replace(
            incarnation=2, process_id=9, ended_run=77
        ),
    }
    context.other_record = other_records[other_record]
    context.membership_table.merge([context.other_record], 1.0)


@behave.then("it names that run until a later one ends")
def check_ended_run(context: runner.Context) -> None:
    table = context.membership_table
    decoded = membership.decode_record(membership.encode_record(table.own))
    assert decoded.ok.ended_run == 77, decoded
    table.update_own_record(2.0, ended_run=78)
    table.merge([context.other_record], 3.0)
    assert table.own.ended_run == 78, table.own
    assert table.predecessor == context.other_record


@behave.when("it drains and then serves again")
def drain_and_serve(context: runner.Context) -> None:
    draining = membership.RecordState.DRAINING
    context.other_record = context.membership_table.update_own_record(
        1.0, state=draining
    )
    context.membership_table.update_own_record(
        2.0, state=membership.RecordState.SERVING
    )


@behave.then("the own record is live at incarnation {incarnation:d} and not superseded")
def check_own_record(context: runner.Context, incarnation: int) -> None:
    own = context.membership_table.own
    assert own.incarnation == incarnation, own
    assert own.is_live and own.process_id == OWN_RECORD.process_id, own
    assert not membership.is_newer(context.other_record, own), own


def _set_flags(
    record: membership.EndpointRecord, state: str
) -> membership.EndpointRecord:
    return record._replace(is_suspected=state == "suspected", is_final=state == "final")


@behave.when('the table merges a record of an unknown endpoint that is "{state}"')
def merge_unknown(context: runner.Context, state: str) -> None:
    context.membership_table = membership.MembershipTable(OWN_RECORD)
    context.membership_table.merge([_set_flags(RECORD, state)], 0.0)


@behave.then("the record is stored")
def check_stored(context: runner.Context) -> None:
    assert context.membership_table.get(RECORD.endpoint_id) == RECORD


@behave.then("the record is ignored")
def check_ignored(context: runner.Context) -> None:
    assert context.membership_table.get(RECORD.endpoint_id) is None


@behave.when('the record of a known endpoint becomes "{state}"')
def merge_dead_record(context: runner.Context, state: str) -> None:
    context.membership_table = membership.MembershipTable(OWN_RECORD)
    context.membership_table.merge([RECORD], 0.0)
    assert (
        context.membership_table.digest != membership.MembershipTable(OWN_RECORD).digest
    )
    context.membership_table.merge([_set_flags(RECORD, state)], 10.0)


@behave.then("the digest equals that of a table without this record")
def check_digest(context: runner.Context) -> None:
    assert (
        context.membership_table.digest == membership.MembershipTable(OWN_RECORD).digest
    )


@behave.then("the record is removed after {seconds:d} s but not before")
def check_removed(context: runner.Context, seconds: int) -> None:
    assert context.membership_table.remove_expired(10.0 + seconds - 1) == []
    assert context.membership_table.remove_expired(10.0 + seconds) == [
        RECORD.endpoint_id
    ]


@behave.given("a table with the record of an earlier process at an address")
def build_table_with_earlier_process(context: runner.Context) -> None:
    context.membership_table = membership.MembershipTable(OWN_RECORD)
    context.membership_table.merge([RECORD], 0.0)


@behave.when("another process sends a message from this address")
def find_conflicting_record(context: runner.Context) -> None:
    context.conflicting_record = context.membership_table.find_conflicting_record(
        RECORD.endpoint_id, 7
    )


@behave.then(
    "the earlier record conflicts until the table has a newer one of this process"
)
def check_conflicting_record(context: runner.Context) -> None:
    assert context.conflicting_record == RECORD
    newer = RECORD._replace(incarnation=4, process_id=7)
    context.membership_table.merge([newer], 1.0)
    assert (
        context.membership_table.find_conflicting_record(RECORD.endpoint_id, 7) is None
    )


@behave.then(
    "{n_messages:d} corrupted record messages are rejected or decode to a record"
)
def check_corrupted(context: runner.Context, n_messages: int) -> None:
    rng = random.Random(4)
    encoded = membership.encode_record(RECORD).SerializeToString()
    n_decoded = 0
    for _ in range(n_messages):
        corrupted = bytearray(encoded)
        for _ in range(rng.randrange(1, 4)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        try:
            message = wire.messages.EndpointRecord.FromString(bytes(corrupted))
        except protobuf_message.DecodeError:
            continue
        decoded = membership.decode_record(message)
        if decoded.is_ok():
            n_decoded += 1
            assert decoded.ok.address is not None
    assert n_decoded > 0


@behave.given("a service of {n_endpoints:d} endpoints used by {n_daemons:d} daemons")
def build_service(context: runner.Context, n_endpoints: int, n_daemons: int) -> None:
    context.endpoints = [
        RECORD._replace(endpoint_id=f"10.0.{index // 250}.{index % 250}:7000")
        for index in range(n_endpoints)
    ]
    context.daemons = [f"10.1.{n // 250}.{n % 250}:7000" for n in range(n_daemons)]


@behave.then("each daemon uses {n_used:d} of these endpoints")
def check_subset_size(context: runner.Context, n_used: int) -> None:
    context.subsets = {
        daemon: membership.choose_subset(daemon, context.endpoints)
        for daemon in context.daemons
    }
    assert {len(rows) for rows in context.subsets.values()} == {n_used}


@behave.then("each endpoint is used by {low:d} to {high:d} daemons")
def check_subset_balance(context: runner.Context, low: int, high: int) -> None:
    counts = collections.Counter(
        row.endpoint_id for rows in context.subsets.values() for row in rows
    )
    assert len(counts) == len(context.endpoints)
    assert low <= min(counts.values()) <= max(counts.values()) <= high, counts


@behave.then("removing an endpoint changes at most one member of each subset")
def check_subset_stability(context: runner.Context) -> None:
    remaining = context.endpoints[1:]
    for daemon, before in context.subsets.items():
        after = set(membership.choose_subset(daemon, remaining))
        assert len(set(before) - after) <= 1, daemon


@behave.when("half of the endpoints are suspected")
def suspect_half(context: runner.Context) -> None:
    context.endpoints = [
        row._replace(is_suspected=index % 2 == 0)
        for index, row in enumerate(context.endpoints)
    ]


@behave.then("no subset contains a suspected endpoint")
def check_no_suspected_in_subset(context: runner.Context) -> None:
    for daemon in context.daemons:
        rows = membership.choose_subset(daemon, context.endpoints)
        assert not any(row.is_suspected for row in rows), daemon
