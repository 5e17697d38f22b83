"""Steps for contact keys of daemons that stop."""

from collections.abc import Awaitable, Callable

import behave
import trio
from behave import runner

from umberdrum.tests import harness

LEAVE_ACCEPT_MS = 2500
GRACE_MS = 5500
SETTLE_SECONDS = 8.0
POLL_SECONDS = 0.02
CLAIM_POLL_SECONDS = 0.005
SLOW_STORE_SECONDS = 1.5
RESTART_GAP_SECONDS = 0.5
RELEASE_SECONDS = 0.1
KEYS_PREFIX = "umberdrum/contacts/"

SiteTest = Callable[[harness.Site], Awaitable[None]]


def _run(context: runner.Context, test: SiteTest) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            await site.create_class("first", "cards", "/first")
            for zone, n_daemons in context.n_by_zone.items():
                for _ in range(n_daemons):
                    await site.add_node("", zone)
            await site.wait_until_known(1)
            await trio.sleep(SETTLE_SECONDS)
            for node in site.nodes:
                node.daemon._settings = node.daemon._settings._replace(
                    leave_accept_ms=LEAVE_ACCEPT_MS, grace_ms=GRACE_MS
                )
            await test(site)

    harness.run_on_virtual_clock(run)


def _list_holders(site: harness.Site, zone: str = "") -> list[str]:
    """Return the holders of the contact keys of a zone, or of all zones."""
    prefix = f"{KEYS_PREFIX}{zone}"
    items = site.state.get_range(prefix, f"{prefix}~")
    return [item.value.decode() for item in items]


def _find_contact(site: harness.Site, zone: str) -> harness.Node:
    holders = _list_holders(site, zone)
    return next(node for node in site.nodes if node.endpoint_id in holders)


def _get_zone_node(site: harness.Site, zone: str) -> harness.Node:
    nodes = [row for row in site.nodes if row.settings.availability_zone == zone]
    (node,) = nodes
    return node


async def _measure_change(site: harness.Site, name: str, limit_seconds: float) -> float:
    """Write a class and return after how many seconds all running daemons have it."""
    began_at = trio.current_time()
    await site.create_class(name, "cards", f"/{name}")

    def is_known() -> bool:
        for node in site.nodes:
            parts = node.daemon.parts
            if node.scope.cancel_called or parts is None:
                continue
            if parts.state.catalog.get_entry(name) is None:
                return False
        return True

    with trio.move_on_after(limit_seconds):
        await site.wait_until(is_known)
    return trio.current_time() - began_at


@behave.given("{n_first:d} daemons in zone {first} and {n_second:d} in zone {second}")
def set_zones(
    context: runner.Context, n_first: int, first: str, n_second: int, second: str
) -> None:
    context.n_by_zone = {first: n_first, second: n_second}


@behave.when("a contact of zone {zone} begins to stop")
def stop_contact(context: runner.Context, zone: str) -> None:
    async def test(site: harness.Site) -> None:
        n_before = len(_list_holders(site, zone))
        node = _find_contact(site, zone)
        began_at = trio.current_time()
        node.daemon.stop()
        await trio.sleep(0.1)
        context.change_seconds = await _measure_change(site, "second", 10.0)
        await trio.sleep_until(began_at + 0.2)
        context.is_free = node.endpoint_id not in _list_holders(site, zone)
        context.change_seconds += 0.1
        with trio.move_on_after(30.0):
            while True:
                holders = set(_list_holders(site, zone)) - {node.endpoint_id}
                if len(holders) >= n_before:
                    break
                await trio.sleep(POLL_SECONDS)
        context.claim_seconds = trio.current_time() - began_at

    _run(context, test)


@behave.then("it holds no key 0.2 s later")
def check_free(context: runner.Context) -> None:
    assert context.is_free


@behave.then("zone {zone} has as many contacts as before within {limit:d} s")
def check_claimed(context: runner.Context, zone: str, limit: int) -> None:
    assert context.claim_seconds <= limit, context.claim_seconds


@behave.then(
    "all daemons get a change that was made 0.1 s after the beginning "
    "within {limit:d} s"
)
def check_change(context: runner.Context, limit: int) -> None:
    assert context.change_seconds <= limit, context.change_seconds


async def _bring_about(site: harness.Site, event: str, node: harness.Node) -> None:
    """Return at the moment of the event at which ``node`` is to be stopped."""
    if event.startswith("the store is down"):
        site.state.expire_all_leases()
        site.server.switch_faults({"down": True})
        await trio.sleep(5.0)
    elif event.startswith("its claim"):
        site.state.expire_all_leases()
        while not any("event=contact_lost" in line for line in node.log_lines):
            await trio.sleep(CLAIM_POLL_SECONDS)
        if event == "its claim waits for the store":
            site.faults.delay_seconds = 0.2
            n_grants = site.server.n_calls["/v3/lease/grant"]
            while site.server.n_calls["/v3/lease/grant"] == n_grants:
                await trio.sleep(CLAIM_POLL_SECONDS)
    elif event.startswith("the store is restored"):
        site.server.switch_faults({"copy": True})
        await trio.sleep(1.0)


@behave.when("the daemon of zone {zone} begins to stop while {event}")
def stop_during(context: runner.Context, zone: str, event: str) -> None:
    async def test(site: harness.Site) -> None:
        node = _get_zone_node(site, zone)
        await _bring_about(site, event, node)
        node.daemon.stop()
        if event.startswith("the store is down"):
            site.server.switch_faults({"down": False})
        if event.startswith("the store is restored"):
            site.server.switch_faults({"restore": True})
        await trio.sleep(0.5)
        context.held_at = []
        until = trio.current_time() + 5.0
        while trio.current_time() < until:
            if _list_holders(site, zone):
                context.held_at.append(trio.current_time())
            await trio.sleep(POLL_SECONDS)

    _run(context, test)


@behave.then("it never holds a key from 0.5 s after the beginning on")
def check_never_held(context: runner.Context) -> None:
    assert not context.held_at, (len(context.held_at), context.held_at[:3])


@behave.when("the daemon of zone {zone} stops while the store is {state}")
def stop_with_store(context: runner.Context, zone: str, state: str) -> None:
    async def test(site: harness.Site) -> None:
        node = _get_zone_node(site, zone)
        if state == "down":
            site.server.switch_faults({"down": True})
        elif state == "slow":
            site.faults.delay_seconds = SLOW_STORE_SECONDS
        await trio.sleep(1.0)
        began_at = trio.current_time()
        node.daemon.stop()
        await node.daemon.wait_stopped()
        context.seconds = trio.current_time() - began_at

    _run(context, test)


@behave.then("it ends within {limit:g} s")
def check_stop_time(context: runner.Context, limit: float) -> None:
    assert context.seconds <= limit, context.seconds


async def _wait_ended(node: harness.Node) -> None:
    """Wait until the addresses of the node are free for its successor."""
    await node.daemon.wait_stopped()
    await trio.sleep(RELEASE_SECONDS)


@behave.when("{which} are stopped {order} and started again")
def stop_several(context: runner.Context, which: str, order: str) -> None:
    async def test(site: harness.Site) -> None:
        nodes = list(site.nodes)
        if which == "the daemons of the zone":
            nodes = [row for row in nodes if row.settings.availability_zone == "az1"]
        if order == "together":
            for node in nodes:
                node.daemon.stop()
            for node in nodes:
                await _wait_ended(node)
            stopped = {node.endpoint_id for node in nodes}
            context.stale_holders = stopped & set(_list_holders(site))
            for node in nodes:
                zone = node.settings.availability_zone
                await site.add_node("", zone, replaces=node)
        else:
            context.stale_holders = set()
            for node in nodes:
                node.daemon.stop()
                await _wait_ended(node)
                if node.endpoint_id in _list_holders(site):
                    context.stale_holders.add(node.endpoint_id)
                zone = node.settings.availability_zone
                await site.add_node("", zone, replaces=node)
                await trio.sleep(RESTART_GAP_SECONDS)
        await trio.sleep(4.0)
        context.change_seconds = await _measure_change(site, "second", 10.0)

    _run(context, test)


@behave.then("no key is held by a process that has ended")
def check_stale_holders(context: runner.Context) -> None:
    assert not context.stale_holders, context.stale_holders


@behave.then("all daemons get a change within {limit:d} s, after a time of 4 s")
def check_later_change(context: runner.Context, limit: int) -> None:
    assert context.change_seconds <= limit, context.change_seconds
