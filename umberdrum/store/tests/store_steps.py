"""Steps of the store contract: any other adapter must pass the same."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import behave
import trio
from behave import runner

from umberdrum import settings, store
from umberdrum.tests import harness
from umberdrum_bench import store_server

StoreTest = Callable[[harness.Site, store.Store], Awaitable[None]]
AdapterBuilder = Callable[
    [tuple[settings.Address, ...], store.StoreCallCounter], store.Store
]


class StoreBackend(NamedTuple):
    """Protocol of a store: the stand-in that serves it and the adapter under test."""

    server: type[store_server.StoreServer]
    build_adapter: AdapterBuilder
    reports_compacted_revision: bool


BACKENDS = {"etcd": StoreBackend(store_server.StoreServer, store.EtcdStore, True)}


def _get_backend(context: runner.Context) -> StoreBackend:
    return BACKENDS[getattr(context, "backend", "etcd")]


@behave.given('the store backend "{name}"')
def select_backend(context: runner.Context, name: str) -> None:
    context.backend = name


def _run(context: runner.Context, test: StoreTest) -> None:
    """Run a test on a fresh store that was prepared as the scenario says."""

    async def run() -> None:
        backend = _get_backend(context)
        async with harness.open_site(server_type=backend.server) as site:
            adapter = backend.build_adapter((site.store_address,), site.counter)
            context.revision = 0
            if context.held == "present":
                context.revision = (
                    await adapter.compare_and_swap("k", 0, b"v")
                ).ok.revision
            await test(site, adapter)
            adapter.close()

    harness.run_on_virtual_clock(run)


@behave.given('a store in which "k" is {held}')
def prepare(context: runner.Context, held: str) -> None:
    context.held = held


@behave.when('"k" is {action} expecting {expected}')
def change(context: runner.Context, action: str, expected: str) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        revisions = {"nothing": 0, "its revision": context.revision}
        revision = revisions.get(expected, 999)
        if action == "written":
            context.swap = (await adapter.compare_and_swap("k", revision, b"new")).ok
        else:
            context.swap = (await adapter.delete("k", revision)).ok
        context.item = (await adapter.get("k")).ok

    _run(context, test)


@behave.then("the change is applied")
def check_applied(context: runner.Context) -> None:
    assert context.swap.is_applied, context.swap
    if context.item is not None:
        assert context.item.value == b"new", context.item
        assert context.item.mod_revision == context.swap.revision


@behave.then("the change is refused")
def check_refused(context: runner.Context) -> None:
    assert not context.swap.is_applied, context.swap
    assert context.swap.current == context.item, context.swap
    assert context.item is None or context.item.value == b"v"


@behave.then('the prefix "k" lists 1 key and the prefix "l" lists 0')
def check_listing(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        listing = (await adapter.list_prefix("k")).ok
        assert [item.key for item in listing.items] == ["k"]
        assert listing.revision >= context.revision
        assert (await adapter.list_prefix("l")).ok.items == ()

    _run(context, test)


@behave.given('a store that holds "k" under a lease of {ttl:d} s')
def prepare_lease(context: runner.Context, ttl: int) -> None:
    context.held = "absent"
    context.ttl = ttl


@behave.when("{seconds:d} s pass {how}")
def pass_time(context: runner.Context, seconds: int, how: str) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        lease = (await adapter.grant_lease(context.ttl)).ok
        assert (
            await adapter.compare_and_swap("k", 0, b"v", lease.lease_id)
        ).ok.is_applied
        if "revoked" in how:
            await adapter.revoke_lease(lease.lease_id)
        for _ in range(seconds):
            await trio.sleep(1.0)
            if "kept" in how:
                await adapter.keep_alive(lease.lease_id)
        context.item = (await adapter.get("k")).ok
        context.kept = (await adapter.keep_alive(lease.lease_id)).ok

    _run(context, test)


@behave.then('"k" is {result}')
def check_lease(context: runner.Context, result: str) -> None:
    assert (context.item is not None) == (result == "present"), context.item
    assert (context.kept.ttl_seconds > 0) == (result == "present"), context.kept


@behave.when(
    'a watch of "k" sees a write, a deletion and a write of "k" and one of "x"'
)
def watch_changes(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        context.events = []
        async with adapter.watch("k", 1) as watch:
            first = (await adapter.compare_and_swap("k", 0, b"1")).ok
            await adapter.compare_and_swap("x", 0, b"1")
            await adapter.delete("k", first.revision)
            await adapter.compare_and_swap("k", 0, b"2")
            with trio.move_on_after(5.0):
                while len(context.events) < 4:
                    context.events += (await watch.receive()).ok.events

    _run(context, test)


@behave.then('it saw "{kinds}" with rising revisions')
def check_events(context: runner.Context, kinds: str) -> None:
    found = ["delete" if event.is_deleted else "put" for event in context.events]
    assert ", ".join(found) == kinds, found
    revisions = [event.item.mod_revision for event in context.events]
    assert revisions == sorted(set(revisions)), revisions


@behave.when("the store is compacted and watched from revision 1")
def watch_compacted(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        site.server.switch_faults({"compact": True})
        async with adapter.watch("k", 1) as watch:
            context.batch = (await watch.receive()).ok

    _run(context, test)


@behave.then("the watch says that it is compacted")
def check_compacted(context: runner.Context) -> None:
    least = context.revision if _get_backend(context).reports_compacted_revision else 1
    assert context.batch.compacted_revision >= least


@behave.when('the store is "{fault}" and the adapter tries to {operation}')
def meet_fault(context: runner.Context, fault: str, operation: str) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        if fault == "unreachable":
            nowhere = (harness.find_free_address(),)
            counter = store.StoreCallCounter()
            adapter = _get_backend(context).build_adapter(nowhere, counter)
        elif fault == "slow":
            site.faults.delay_seconds = 60.0
        elif fault == "lossy":
            site.faults.n_lost_answers = 1
        else:
            # The kept connection stays open, so that the request is sent.
            site.faults.is_down = True
        began_at = trio.current_time()
        if operation == "read":
            context.failure = (await adapter.get("k")).error
        else:
            context.failure = (await adapter.compare_and_swap("k", 0, b"w")).error
        context.seconds = trio.current_time() - began_at

    _run(context, test)


@behave.then('the failure is "{kind}" and within {seconds:d} s')
def check_failure(context: runner.Context, kind: str, seconds: int) -> None:
    assert context.failure.kind.token == kind, context.failure
    assert context.seconds <= seconds, context.seconds


@behave.when("it is read, listed, written and watched once")
def use_once(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        await adapter.get("k")
        await adapter.list_prefix("k")
        await adapter.compare_and_swap("k", 0, b"v")
        async with adapter.watch("k", 1) as watch:
            await watch.receive()
        context.n_here = site.counter.total
        context.n_there = site.server.n_calls.total()

    _run(context, test)


@behave.then("{n_calls:d} calls are counted here and by the store")
def check_calls(context: runner.Context, n_calls: int) -> None:
    assert (context.n_here, context.n_there) == (n_calls, n_calls)
