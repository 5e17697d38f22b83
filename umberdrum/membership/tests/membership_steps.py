"""Steps on membership."""

import collections
import random

import behave
import hypothesis
from behave import runner
from google.protobuf import message as protobuf_message
from hypothesis import strategies

from umberdrum import membership, wire

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


def _draw_records() -> strategies.SearchStrategy[list[membership.EndpointRecord]]:
    # One process writes one record for each version, so the content follows from it.
    def build(
        port: int, incarnation: int, process: int, version: int, mark: int
    ) -> membership.EndpointRecord:
        state = membership.RecordState(1 + (version + process) % 3)
        return RECORD._replace(
            endpoint_id=f"127.0.0.1:{port}",
            incarnation=incarnation,
            process_id=process,
            version=version,
            state=state,
            is_suspected=mark == 1,
            is_final=mark == 2,
        )

    number = strategies.integers(min_value=1, max_value=3)
    record = strategies.builds(
        build, number, number, number, number, strategies.integers(0, 2)
    )
    return strategies.lists(record, max_size=6)


def _list_state(table: membership.MembershipTable) -> list[membership.EndpointRecord]:
    return sorted(
        row for row in table.records if row.endpoint_id != OWN_RECORD.endpoint_id
    )


def _merge(*batches: list[membership.EndpointRecord]) -> membership.MembershipTable:
    table = membership.MembershipTable(OWN_RECORD._replace(endpoint_id="127.0.0.1:99"))
    # All endpoints are known, since an unknown one is taken only while it is live.
    for port in (1, 2, 3):
        known = RECORD._replace(
            endpoint_id=f"127.0.0.1:{port}", incarnation=0, process_id=0, version=0
        )
        table.merge([known], 0.0)
    for batch in batches:
        table.merge(batch, 0.0)
    return table


@behave.then("merging random records follows the laws and never goes back")
def check_laws(context: runner.Context) -> None:
    drawn = _draw_records()

    @hypothesis.settings(max_examples=200, derandomize=True, database=None)
    @hypothesis.given(drawn, drawn, drawn)
    def check(
        first: list[membership.EndpointRecord],
        second: list[membership.EndpointRecord],
        third: list[membership.EndpointRecord],
    ) -> None:
        one = _merge(first, second, third)
        other = _merge(third, second, first)
        assert _list_state(one) == _list_state(other)
        assert one.digest == other.digest
        assert one.bucket_digests == other.bucket_digests
        before = {row.endpoint_id: row for row in one.records}
        one.merge(second, 1.0)
        assert _list_state(one) == _list_state(other)
        for row in one.records:
            assert not membership.is_newer(before[row.endpoint_id], row)

    check()


@behave.given("the own record at incarnation {incarnation:d} and version {version:d}")
def build_own(context: runner.Context, incarnation: int, version: int) -> None:
    own = OWN_RECORD._replace(incarnation=incarnation, version=version)
    context.members = membership.MembershipTable(own)
    context.claim = own


@behave.when('a record under its id arrives: "{claim}"')
def claim_own(context: runner.Context, claim: str) -> None:
    own = context.members.own
    claims = {
        "suspected": own._replace(is_suspected=True),
        "other process, newer": own._replace(incarnation=7, process_id=9),
        "other process, final": own._replace(process_id=999, is_final=True),
        "older": own._replace(version=2, is_suspected=True),
    }
    context.claim = claims[claim]
    context.members.merge([context.claim], 1.0)


@behave.when("it drains and serves again")
def drain_and_serve(context: runner.Context) -> None:
    draining = membership.RecordState.DRAINING
    context.claim = context.members.update_own_record(1.0, state=draining)
    context.members.update_own_record(2.0, state=membership.RecordState.SERVING)


@behave.then(
    "the own record is at incarnation {incarnation:d}, newer than the claim and live"
)
def check_own(context: runner.Context, incarnation: int) -> None:
    own = context.members.own
    assert own.incarnation == incarnation, own
    assert own.is_live and own.process_id == OWN_RECORD.process_id, own
    assert not membership.is_newer(context.claim, own), own


def _mark(record: membership.EndpointRecord, state: str) -> membership.EndpointRecord:
    return record._replace(is_suspected=state == "suspected", is_final=state == "final")


@behave.when('a record that is "{state}" arrives for an unknown endpoint')
def take_unknown(context: runner.Context, state: str) -> None:
    context.members = membership.MembershipTable(OWN_RECORD)
    context.members.merge([_mark(RECORD, state)], 0.0)


@behave.then("it is kept")
def check_kept(context: runner.Context) -> None:
    assert context.members.get(RECORD.endpoint_id) == RECORD


@behave.then("it is dropped")
def check_dropped(context: runner.Context) -> None:
    assert context.members.get(RECORD.endpoint_id) is None


@behave.when('a known endpoint becomes "{state}"')
def become(context: runner.Context, state: str) -> None:
    context.members = membership.MembershipTable(OWN_RECORD)
    context.members.merge([RECORD], 0.0)
    assert context.members.digest != membership.MembershipTable(OWN_RECORD).digest
    context.members.merge([_mark(RECORD, state)], 10.0)


@behave.then("the digest is that of a table without it")
def check_digest(context: runner.Context) -> None:
    assert context.members.digest == membership.MembershipTable(OWN_RECORD).digest


@behave.then("it is forgotten after {seconds:d} s but not before")
def check_forgotten(context: runner.Context, seconds: int) -> None:
    assert context.members.forget_old(10.0 + seconds - 1) == []
    assert context.members.forget_old(10.0 + seconds) == [RECORD.endpoint_id]


@behave.given("a table that holds a record of an earlier process at an address")
def hold_earlier(context: runner.Context) -> None:
    context.members = membership.MembershipTable(OWN_RECORD)
    context.members.merge([RECORD], 0.0)


@behave.when("a daemon of another process speaks from this address")
def speak(context: runner.Context) -> None:
    context.correction = context.members.find_correction(RECORD.endpoint_id, 7)


@behave.then("it is told of the earlier record, until its own is newer")
def check_correction(context: runner.Context) -> None:
    assert context.correction == RECORD
    newer = RECORD._replace(incarnation=4, process_id=7)
    context.members.merge([newer], 1.0)
    assert context.members.find_correction(RECORD.endpoint_id, 7) is None


@behave.then("{n_messages:d} damaged record messages are refused or decode to a record")
def check_damaged(context: runner.Context, n_messages: int) -> None:
    rng = random.Random(4)
    whole = membership.encode_record(RECORD).SerializeToString()
    n_decoded = 0
    for _ in range(n_messages):
        damaged = bytearray(whole)
        for _ in range(rng.randrange(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        try:
            message = wire.messages.EndpointRecord.FromString(bytes(damaged))
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


@behave.then("each daemon uses {n_used:d} of them")
def check_subset_size(context: runner.Context, n_used: int) -> None:
    context.subsets = {
        daemon: membership.choose_subset(daemon, context.endpoints)
        for daemon in context.daemons
    }
    assert {len(rows) for rows in context.subsets.values()} == {n_used}


@behave.then("each endpoint is used by {low:d} to {high:d} daemons")
def check_subset_even(context: runner.Context, low: int, high: int) -> None:
    counts = collections.Counter(
        row.endpoint_id for rows in context.subsets.values() for row in rows
    )
    assert len(counts) == len(context.endpoints)
    assert low <= min(counts.values()) <= max(counts.values()) <= high, counts


@behave.then("an endpoint that goes changes at most one member of each subset")
def check_subset_stable(context: runner.Context) -> None:
    left = context.endpoints[1:]
    for daemon, before in context.subsets.items():
        after = set(membership.choose_subset(daemon, left))
        assert len(set(before) - after) <= 1, daemon


@behave.when("half of the endpoints are suspected")
def suspect_half(context: runner.Context) -> None:
    context.endpoints = [
        row._replace(is_suspected=index % 2 == 0)
        for index, row in enumerate(context.endpoints)
    ]


@behave.then("no subset holds a suspected endpoint")
def check_subset_trusted(context: runner.Context) -> None:
    for daemon in context.daemons:
        rows = membership.choose_subset(daemon, context.endpoints)
        assert not any(row.is_suspected for row in rows), daemon
