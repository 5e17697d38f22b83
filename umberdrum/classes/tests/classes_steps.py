"""Steps on request classes and the catalog."""

import random

import behave
import hypothesis
from behave import runner
from hypothesis import strategies

from umberdrum import callpath, classes
from umberdrum.tests import harness

VALID = classes.RequestClass(
    "lookup", "cards", ("GET",), "/cards", True, classes.Target(50, 99.0), "c1"
)


@behave.when('a class has "{field}" of "{value}"')
def build_invalid(context: runner.Context, field: str, value: str) -> None:
    changed = VALID
    if field == "latency_ms":
        changed = VALID._replace(target=classes.Target(int(value), 99.0))
    elif field == "percentile":
        changed = VALID._replace(target=classes.Target(50, float(value)))
    elif field == "methods":
        changed = VALID._replace(methods=(value,))
    elif field == "name":
        changed = VALID._replace(name=value)
    elif field == "service":
        changed = VALID._replace(service=value)
    else:
        changed = VALID._replace(path_prefix=value)
    context.checked = classes.check_class(changed)


@behave.then('it is rejected with "{message}"')
def check_rejected(context: runner.Context, message: str) -> None:
    assert context.checked.is_error()
    assert context.checked.error.detail.startswith(message), context.checked.error


@behave.then("the documents of {n_classes:d} random classes decode to equal classes")
def check_round_trip(context: runner.Context, n_classes: int) -> None:
    rng = random.Random(7)
    for index in range(n_classes):
        generated = VALID._replace(
            name=f"c{index}",
            methods=tuple(rng.sample(["GET", "PUT", "POST"], rng.randrange(4))),
            is_idempotent=rng.random() < 0.5,
            target=classes.Target(rng.randrange(1, 600_001), rng.uniform(50, 99.9)),
        )
        decoded = classes.decode_document(classes.encode_document(generated))
        assert decoded.is_ok() and decoded.ok == generated, decoded


@behave.then("{n_documents:d} corrupted documents fail to decode or give a valid class")
def check_corrupted(context: runner.Context, n_documents: int) -> None:
    rng = random.Random(8)
    intact = classes.encode_document(VALID)
    n_undecodable = 0
    for _ in range(n_documents):
        corrupted = bytearray(intact)
        for _ in range(rng.randrange(1, 5)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        decoded = classes.decode_document(
            bytes(corrupted[: rng.randrange(len(intact))])
        )
        if decoded.is_error():
            n_undecodable += 1
            continue
        assert classes.check_class(decoded.ok).is_ok()
    assert n_undecodable > 0


@behave.given('the classes "/" and "/cards" and "/payments" of one service')
def build_catalog(context: runner.Context) -> None:
    entries = []
    for name, path in (("any", "/"), ("cards", "/cards"), ("payments", "/payments")):
        request_class = VALID._replace(name=name, path_prefix=path, methods=())
        document = classes.encode_document(request_class)
        entries.append(classes.CatalogEntry(name, 2, document, False))
    context.catalog = classes.Catalog().merge(entries)


@behave.when('the request target "{target}" is matched')
def match_target(context: runner.Context, target: str) -> None:
    path = callpath.normalize_path(target.encode())
    context.matched = context.catalog.match("cards", "POST", path)


@behave.then('the matched class is "{name}"')
def check_match(context: runner.Context, name: str) -> None:
    assert context.matched is not None
    assert context.matched.request_class.name == name, context.matched


def _build_entry(name: str, revision: int, is_deleted: bool) -> classes.CatalogEntry:
    document = b"" if is_deleted else classes.encode_document(VALID._replace(name=name))
    return classes.CatalogEntry(name, revision, document, is_deleted)


def _build_catalog_strategy() -> strategies.SearchStrategy[list[classes.CatalogEntry]]:
    # Each store revision belongs to one change of one key, so the entry is a function
    # of its revision.
    revisions = strategies.integers(min_value=1, max_value=12)

    def build(numbers: list[int]) -> list[classes.CatalogEntry]:
        return [_build_entry("abc"[n % 3], n, n % 4 == 0) for n in numbers]

    return strategies.lists(revisions, max_size=8).map(build)


@behave.then("merging random catalogs has these properties and lowers no revision")
def check_merge_properties(context: runner.Context) -> None:
    catalogs = _build_catalog_strategy()

    @harness.PROPERTY_SETTINGS
    @hypothesis.given(catalogs, catalogs, catalogs)
    def check(
        first: list[classes.CatalogEntry],
        second: list[classes.CatalogEntry],
        third: list[classes.CatalogEntry],
    ) -> None:
        one = classes.Catalog().merge(first)
        both = one.merge(second)
        assert both.entries == classes.Catalog().merge(second).merge(first).entries
        assert both.merge(second).entries == both.entries
        right = classes.Catalog().merge(second).merge(third)
        assert both.merge(third).entries == one.merge(right.entries).entries
        for entry in one.entries:
            kept = both.get_entry(entry.name)
            assert kept is not None and kept.revision >= entry.revision
        assert both.digest == one.merge(second).digest
        assert both.position >= one.position

    check()


@behave.given(
    "a catalog with version {version:d} at revision {revision:d} and two documents "
    "without a version"
)
def build_versioned_catalog(
    context: runner.Context, version: int, revision: int
) -> None:
    context.entries = [
        classes.CatalogEntry("routes", revision, b"r", False, version=version),
        classes.CatalogEntry("drains/a", revision + 1, b"a", False),
        classes.CatalogEntry("drains/b", revision + 2, b"b", False),
        classes.CatalogEntry("drains/b", revision + 3, b"", True),
    ]


@behave.then("the same catalog without {lacked} has a lower position")
def check_lower_position(context: runner.Context, lacked: str) -> None:
    entries = context.entries
    earlier = entries[1]._replace(revision=1, document=b"o")
    kept = {
        "its versioned document": entries[1:],
        "its latest document without a version": entries[:2],
        "the latest change of that document": entries[:3],
        "an earlier document without a version": [entries[0], *entries[2:]],
        "a change of that earlier document": [entries[0], earlier, *entries[2:]],
    }[lacked]
    complete = classes.Catalog().merge(entries)
    incomplete = classes.Catalog().merge(kept)
    assert incomplete.position < complete.position, incomplete.position
    assert incomplete.merge(entries).position == complete.position


@behave.when('a class that is "{kind}" has a target of {ms:d} ms')
def derive_policy(context: runner.Context, ms: int, kind: str) -> None:
    request_class = VALID._replace(
        target=classes.Target(ms, 99.0), is_idempotent=kind == "idempotent"
    )
    context.policy = classes.derive_policy(request_class)


@behave.then(
    "its deadline is {deadline:d} ms, its hedging delay {hedge:d} ms "
    "and its longest queueing time {queue:d} ms"
)
def check_policy(
    context: runner.Context, deadline: int, hedge: int, queue: int
) -> None:
    policy = context.policy
    found = (policy.deadline_ms, policy.hedge_after_ms, policy.max_queue_ms)
    assert found == (deadline, hedge, queue), policy
