"""Steps of the store contract, which every store adapter must satisfy."""

import contextlib
import gc
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import behave
import trio
from behave import runner

from umberdrum import errors, jsonclient, settings, sockets, store
from umberdrum.tests import harness
from umberdrum_bench import link, store_server

KEEP_ALIVE_OPTIONS = (
    socket.TCP_KEEPIDLE,
    socket.TCP_KEEPINTVL,
    socket.TCP_KEEPCNT,
    socket.TCP_USER_TIMEOUT,
)
LEASE_TTL_SECONDS = 10
SLOW_ANSWER_SECONDS = 0.5
ROUND_TRIP_SECONDS = 0.05
MAX_WATCH_SECONDS = 60.0
MAX_SILENCE_SECONDS = 1.5
REPEAT_SECONDS = 0.05
StoreTest = Callable[[harness.Site, store.Store], Awaitable[None]]
AdapterBuilder = Callable[
    [tuple[settings.Address, ...], store.StoreCallCounter], store.Store
]


class StoreBackend(NamedTuple):
    """Store protocol under test: the test server and the adapter.

    ``reports_compacted_revision`` is false if a watch reports a compaction but not its
    revision.
    """

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
    """Run a test on a new store with the initial state of the scenario."""

    async def run() -> None:
        backend = _get_backend(context)
        async with harness.open_site(server_type=backend.server) as site:
            adapter = backend.build_adapter((site.store_address,), site.counter)
            context.revision = 0
            if context.initial_state == "present":
                context.revision = (
                    await adapter.compare_and_swap("k", 0, b"v")
                ).ok.revision
            await test(site, adapter)
            adapter.close()

    harness.run_on_virtual_clock(run)


@behave.given('a store in which "k" is {initial_state}')
def set_initial_key(context: runner.Context, initial_state: str) -> None:
    context.initial_state = initial_state


@behave.when('"k" is {action} expecting {expected}')
def change_key(context: runner.Context, action: str, expected: str) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        revisions = {"nothing": 0, "its revision": context.revision}
        revision = revisions.get(expected, 999)
        if action == "written":
            context.swap_result = (
                await adapter.compare_and_swap("k", revision, b"new")
            ).ok
        else:
            context.swap_result = (await adapter.delete("k", revision)).ok
        context.item = (await adapter.get("k")).ok

    _run(context, test)


@behave.then("the change is applied")
def check_applied(context: runner.Context) -> None:
    assert context.swap_result.is_applied, context.swap_result
    if context.item is not None:
        assert context.item.value == b"new", context.item
        assert context.item.mod_revision == context.swap_result.revision


@behave.then("the change is refused")
def check_refused(context: runner.Context) -> None:
    assert not context.swap_result.is_applied, context.swap_result
    assert context.swap_result.current == context.item, context.swap_result
    assert context.item is None or context.item.value == b"v"


@behave.then('the prefix "k" lists 1 key and the prefix "l" lists 0')
def check_listing(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        listing = (await adapter.list_prefix("k")).ok
        assert [item.key for item in listing.items] == ["k"]
        assert listing.revision >= context.revision
        assert (await adapter.list_prefix("l")).ok.items == ()

    _run(context, test)


@behave.given('a store that holds "k" under a lease of {ttl_seconds:d} s')
def set_lease_ttl(context: runner.Context, ttl_seconds: int) -> None:
    context.initial_state = "absent"
    context.ttl_seconds = ttl_seconds


@behave.when("{seconds:d} s pass {how}")
def advance_time(context: runner.Context, seconds: int, how: str) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        lease = (await adapter.grant_lease(context.ttl_seconds)).ok
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
        context.renewed = (await adapter.keep_alive(lease.lease_id)).ok

    _run(context, test)


@behave.then('"k" is {result}')
def check_lease(context: runner.Context, result: str) -> None:
    assert (context.item is not None) == (result == "present"), context.item
    assert (context.renewed.ttl_seconds > 0) == (result == "present"), context.renewed


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


@behave.when('a lease is renewed after the store\'s connections "{event}"')
def renew_lease(context: runner.Context, event: str) -> None:
    async def test(site: harness.Site, _: store.Store) -> None:
        async with _open_link(context, site) as (store_link, adapter):
            lease = (await adapter.grant_lease(LEASE_TTL_SECONDS)).ok
            if event == "go silent":
                store_link.silence()
            elif event == "close":
                store_link.reset()
            elif event != "stay":
                site.faults.delay_seconds = SLOW_ANSWER_SECONDS
            started_at = trio.current_time()
            context.renewed = (await adapter.keep_alive(lease.lease_id)).ok
            context.seconds = trio.current_time() - started_at

    _run(context, test)


@behave.when('"k" is {read} after the store\'s connections "{event}"')
def read_over_lost_connection(context: runner.Context, read: str, event: str) -> None:
    async def test(site: harness.Site, _: store.Store) -> None:
        async with _open_link(context, site) as (store_link, adapter):
            assert (await adapter.get("k")).ok is not None
            if event == "go silent":
                store_link.silence()
            elif event == "close":
                store_link.reset()
            n_calls_before = site.counter.total
            started_at = trio.current_time()
            if read == "listed":
                listed = await adapter.list_prefix("k")
                context.found = [] if listed.is_error() else listed.ok.items
            else:
                got = await adapter.get("k")
                context.found = [] if got.is_error() else [got.ok]
            context.seconds = trio.current_time() - started_at
            context.n_calls = site.counter.total - n_calls_before

    _run(context, test)


@behave.then("it is found within {seconds:d} s, by {n_calls:d} calls")
def check_found(context: runner.Context, seconds: int, n_calls: int) -> None:
    assert [item.key for item in context.found] == ["k"], context.found
    assert context.seconds <= seconds, context.seconds
    assert context.n_calls == n_calls, context.n_calls


@contextlib.asynccontextmanager
async def _open_link(
    context: runner.Context, site: harness.Site
) -> AsyncIterator[tuple[link.LinkProxy, store.Store]]:
    """Open a proxy to the store and an adapter that uses it."""
    async with trio.open_nursery() as nursery:
        store_link = link.LinkProxy(harness.find_free_address(), site.store_address)
        await nursery.start(store_link.run)
        adapter = _get_backend(context).build_adapter(
            (store_link.address,), site.counter
        )
        yield store_link, adapter
        adapter.close()
        nursery.cancel_scope.cancel()


@behave.then('the renewal succeeds within {seconds:d} s and "{shows}" silence')
def check_renewal(context: runner.Context, seconds: int, shows: str) -> None:
    assert context.renewed.ttl_seconds > 0, context.renewed
    assert context.seconds <= seconds, context.seconds
    assert context.renewed.found_silence == (shows == "shows"), context.renewed


@behave.when("a call and a waiting watch have opened a connection each")
def open_connections(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        await adapter.get("k")
        async with adapter.watch("k", 1) as watch:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.receive)
                await trio.sleep(SLOW_ANSWER_SECONDS)
                context.silence_limits = _list_silence_limits(site.store_address)
                nursery.cancel_scope.cancel()

    _run(context, test)


def _list_silence_limits(address: settings.Address) -> list[float]:
    """Return the seconds until the kernel ends each open connection to ``address``.

    It is infinite for a connection without keep-alive probes or a limit for data that
    is not acknowledged.
    """
    limits: list[float] = []
    for found in gc.get_objects():
        if not isinstance(found, socket.socket) or found.fileno() < 0:
            continue
        try:
            if found.getpeername() != (address.host, address.port):
                continue
        except OSError:
            continue
        idle, interval, n_probes, unacknowledged_ms = (
            found.getsockopt(socket.IPPROTO_TCP, option)
            for option in KEEP_ALIVE_OPTIONS
        )
        limit = max(idle + interval * n_probes, unacknowledged_ms / 1000)
        is_probed = found.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        limits.append(limit if is_probed and unacknowledged_ms else math.inf)
    return limits


@behave.then("the kernel is told to end both after at most {seconds:d} s of silence")
def check_silence_limits(context: runner.Context, seconds: int) -> None:
    assert len(context.silence_limits) == 2, context.silence_limits
    assert max(context.silence_limits) <= seconds, context.silence_limits


@behave.when('the watch goes silent before a write of "k" and is opened again')
def reopen_watch(context: runner.Context) -> None:
    async def test(site: harness.Site, _: store.Store) -> None:
        context.events = []
        async with _open_link(context, site) as (store_link, adapter):
            first = (await adapter.compare_and_swap("k", 0, b"1")).ok
            async with adapter.watch("k", first.revision) as watch:
                context.events += (await watch.receive()).ok.events
                revision = watch.next_revision
                store_link.silence()
                site.state.put("k", b"2", 0)
                with trio.move_on_after(SLOW_ANSWER_SECONDS):
                    await watch.receive()
            async with adapter.watch("k", revision) as watch:
                with trio.move_on_after(SLOW_ANSWER_SECONDS):
                    context.events += (await watch.receive()).ok.events

    _run(context, test)


async def _write_silently(
    site: harness.Site, store_link: link.LinkProxy, at: float
) -> None:
    """Write a key right after all connections that are open have gone silent."""
    await trio.sleep_until(at)
    store_link.silence()
    site.state.put("k", b"2", 0)


@behave.when('the watch goes silent before a write of "k"')
def silence_watch(context: runner.Context) -> None:
    async def test(site: harness.Site, _: store.Store) -> None:
        context.waited_seconds = math.inf
        async with _open_link(context, site) as (store_link, adapter):
            first = (await adapter.compare_and_swap("k", 0, b"1")).ok
            async with adapter.watch(
                "k", first.revision, max_silence_seconds=MAX_SILENCE_SECONDS
            ) as watch:
                await watch.receive()
                silent_since = trio.current_time() + SLOW_ANSWER_SECONDS
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_write_silently, site, store_link, silent_since)
                    with trio.move_on_after(MAX_WATCH_SECONDS):
                        received = await watch.receive()
                        context.waited_seconds = trio.current_time() - silent_since
                        assert received.is_error() or received.ok.events

    _run(context, test)


@behave.then("it brings the change or fails within {seconds:f} s")
def check_silent_watch(context: runner.Context, seconds: float) -> None:
    assert context.waited_seconds <= seconds + ROUND_TRIP_SECONDS, (
        context.waited_seconds
    )


@behave.when("the store is compacted and watched from revision 1")
def watch_compacted(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        site.server.switch_faults({"compact": True})
        async with adapter.watch("k", 1) as watch:
            context.batch = (await watch.receive()).ok

    _run(context, test)


@behave.then("the watch says that it is compacted")
def check_compacted(context: runner.Context) -> None:
    min_revision = (
        context.revision if _get_backend(context).reports_compacted_revision else 1
    )
    assert context.batch.compacted_revision >= min_revision


@behave.when('the store is "{fault}" and the adapter tries to {operation}')
def call_during_fault(context: runner.Context, fault: str, operation: str) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        if fault == "unreachable":
            closed_addresses = (harness.find_free_address(),)
            counter = store.StoreCallCounter()
            adapter = _get_backend(context).build_adapter(closed_addresses, counter)
        elif fault == "slow":
            site.faults.delay_seconds = 60.0
        elif fault == "lossy":
            site.faults.n_lost_answers = 1
        else:
            # The persistent connection stays open, so that the request is sent.
            site.faults.is_down = True
        started_at = trio.current_time()
        if operation == "read":
            context.failure = (await adapter.get("k")).error
        else:
            context.failure = (await adapter.compare_and_swap("k", 0, b"w")).error
        context.seconds = trio.current_time() - started_at

    _run(context, test)


@behave.then('the failure is "{kind}" and within {seconds:d} s')
def check_failure(context: runner.Context, kind: str, seconds: int) -> None:
    assert context.failure.kind.token == kind, context.failure
    assert context.seconds <= seconds, context.seconds


@behave.when("it is read, listed, written and watched once")
def call_each_operation(context: runner.Context) -> None:
    async def test(site: harness.Site, adapter: store.Store) -> None:
        await adapter.get("k")
        await adapter.list_prefix("k")
        await adapter.compare_and_swap("k", 0, b"v")
        async with adapter.watch("k", 1) as watch:
            await watch.receive()
        context.n_client_calls = site.counter.total
        context.n_server_calls = site.server.n_calls.total()

    _run(context, test)


@behave.then("{n_calls:d} calls are counted here and by the store")
def check_calls(context: runner.Context, n_calls: int) -> None:
    assert (context.n_client_calls, context.n_server_calls) == (n_calls, n_calls)


async def _refuse_first_write(connection: sockets.Connection, moment: str) -> None:
    """Answer writes on one connection; the refusal of the first is sent twice."""
    refusal = b"HTTP/1.1 412 Failed\r\ncontent-length: 2\r\n\r\n{}"
    await connection.receive()
    if moment == "at once":
        await connection.send(2 * refusal)
    else:
        await connection.send(refusal)
        await trio.sleep(REPEAT_SECONDS)
        await connection.send(refusal)
    await _accept_write(connection)


async def _accept_write(connection: sockets.Connection) -> None:
    if await connection.receive():
        await connection.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
        await connection.receive()


@behave.when(
    "a store sends the response to a refused write twice {moment}, and another write "
    "follows"
)
def write_after_refusal(context: runner.Context, moment: str) -> None:
    n_connections = 0

    async def serve(connection: sockets.Connection) -> None:
        nonlocal n_connections
        n_connections += 1
        with contextlib.suppress(sockets.ConnectionLostError):
            if n_connections == 1:
                await _refuse_first_write(connection, moment)
            else:
                await _accept_write(connection)

    async def run() -> None:
        address = harness.find_free_address()
        listener = sockets.bind_tcp(address)
        kinds = jsonclient.FailureKinds(
            errors.ErrorKind.STORE_UNAVAILABLE, errors.ErrorKind.STORE_OUTCOME_UNKNOWN
        )
        client = jsonclient.JsonClient((address,), 2.0, kinds)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sockets.accept_connections, listener, serve, 10)
            context.statuses = []
            for _ in range(2):
                result = await client.exchange("POST", "/w", {}, True, (200, 412))
                context.statuses.append(result.ok.status)
                await trio.sleep(2 * REPEAT_SECONDS)
            client.close()
            nursery.cancel_scope.cancel()
        listener.close()

    harness.run_on_virtual_clock(run)


@behave.then("the first write is refused and the second one gets its own response")
def check_own_response(context: runner.Context) -> None:
    assert context.statuses == [412, 200], context.statuses
