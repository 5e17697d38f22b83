"""Scenes of many daemons together, each with the promise that it proves."""

import itertools
from collections.abc import Awaitable, Callable

import trio

from umberdrum.tests import harness, payment_site
from umberdrum_bench import caller

LEAVING_SECONDS = 2.0
DEAD_SECONDS = 5.0
CHANGE_SECONDS = 4.0
N_NODES = 6


async def _count_late_calls(
    site: harness.Site, entry: harness.Node, node: harness.Node, limit: float
) -> None:
    """Send lookups for a while; none may begin at ``node`` after ``limit`` seconds."""
    until = trio.current_time() + limit
    while trio.current_time() < until:
        await site.call(entry, "payments", "early", "/look")
    n_begun = len(node.upstream.begun)
    for _ in range(50):
        answer = await site.call(entry, "payments", "late", "/look")
        assert answer.status == 200, answer
    assert len(node.upstream.begun) == n_begun, "new work after the limit"


async def drain_within_seconds() -> None:
    """An upstream that leaves gets no new work after 2 s, with the store down too."""
    for is_store_down in (False, True):
        async with harness.open_site() as site:
            entry = await payment_site.start_payments(site)
            if is_store_down:
                site.server.switch_faults({"down": True})
            node = site.nodes[0]
            node.upstream.state = "draining"
            await site.announce(node, "payments", 4, "draining")
            await _count_late_calls(site, entry, node, LEAVING_SECONDS)


async def avoid_dead_daemon() -> None:
    """A daemon that dies without a word is out of use everywhere within 5 s."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=3)
        site.kill(site.nodes[0])
        await trio.sleep(DEAD_SECONDS)
        for node in site.nodes[1:]:
            parts = node.daemon.parts
            assert parts is not None
            record = parts.table.get(site.nodes[0].endpoint_id)
            assert record is None or record.is_suspected, record
        for index in range(20):
            answer = await site.call(entry, "payments", f"n{index}", "/look")
            assert answer.status == 200 and answer.seconds < 0.5, answer


async def change_within_seconds() -> None:
    """An accepted change is in force on all daemons within 4 s, in two regions."""
    async with harness.open_site() as site:
        await site.create_class("look", "payments", "/look")
        for index in range(N_NODES):
            zone = f"az{index % 3}"
            await site.add_node("payments", zone, region=f"r{index % 2}")
        await site.wait_until_known(1)
        await trio.sleep(5.0)
        await site.create_class("more", "payments", "/more")
        await trio.sleep(CHANGE_SECONDS)
        assert site.is_known(2)
        repository = site.build_repository()
        found = (await repository.get_class("more")).ok
        assert found is not None
        assert (await repository.delete_class("more", found.revision)).is_ok()
        await trio.sleep(CHANGE_SECONDS)
        for node in site.nodes:
            parts = node.daemon.parts
            assert parts is not None
            names = [row.name for row in parts.state.catalog.list_classes()]
            assert names == ["look"], names


async def start_during_outage() -> None:
    """A daemon that starts while the store is down learns all from a known one."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        site.server.switch_faults({"down": True})
        late = await site.add_node(
            "payments", seeds=(site.nodes[0].settings.peer_advertise,)
        )
        await site.wait_until_known(2, 20.0)
        await payment_site.wait_for_candidates(site, entry, 2)
        answer = await site.call(late, "payments", "n1", "/look")
        assert answer.status == 200, answer


async def restart_everything() -> None:
    """After a restart of all daemons the same configuration is in force."""
    async with harness.open_site() as site:
        await payment_site.start_payments(site, n_nodes=3)
        repository = site.build_repository()
        found = (await repository.get_class("look")).ok
        assert found is not None
        assert (await repository.delete_class("look", found.revision)).is_ok()
        first = list(site.nodes)
        for node in first:
            site.kill(node)
        await trio.sleep(1.0)
        site.nodes.clear()
        for node in first:
            service = "" if node is first[-1] else "payments"
            await site.add_node(service, replaces=node)
        await site.wait_until_known(1, 30.0)
        await payment_site.wait_for_candidates(site, site.nodes[-1], 3)
        answer = await site.call(site.nodes[-1], "payments", "p1", "/pay", body=b"x")
        assert answer.status == 200, answer
        answer = await site.call(site.nodes[-1], "payments", "l1", "/look")
        assert answer.kind == "unknown-class", answer


async def survive_forgery() -> None:
    """Random and replayed bytes on the peer port change nothing."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        parts = entry.daemon.parts
        assert parts is not None
        digest = parts.table.digest
        address = entry.settings.peer_listen
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        for raw in (b"", b"\0" * 40, bytes(range(200)), b"x" * 1400):
            await sock.sendto(raw, (address.host, address.port))
            await site.send_raw(address, raw)
        await trio.sleep(1.0)
        sock.close()
        assert parts.table.digest == digest
        answer = await site.call(entry, "payments", "n1", "/look")
        assert answer.status == 200, answer
        assert any("peer_refused" in line for line in entry.lines)
        assert any("datagram_refused" in line for line in entry.lines)


async def serve_with_one_left() -> None:
    """With every other endpoint gone the last one still serves; with none, refusal."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=3)
        for node in site.nodes[:2]:
            site.kill(node)
        for index in range(10):
            answer = await site.call(entry, "payments", f"n{index}", "/look")
            assert answer.status == 200, answer
        site.kill(site.nodes[2])
        await trio.sleep(0.1)
        answer = await site.call(entry, "payments", "p1", "/pay", body=b"x")
        assert answer.status in (502, 503), answer
        assert answer.execution == "not-run", answer


def _split_regions(site: harness.Site, is_split: bool) -> None:
    """Drop the datagrams between nodes of different regions, or pass them again."""
    for node in site.nodes:
        assert node.link is not None
        others = [
            row.settings.peer_listen.host
            for row in site.nodes
            if row.settings.region != node.settings.region
        ]
        node.link.blocked_hosts = frozenset(others if is_split else ())


async def lose_and_find_regions() -> None:
    """Regions whose gossip is cut suspect each other, go on, and agree afterwards."""
    async with harness.open_site() as site:
        await site.create_class("look", "payments", "/look")
        for index in range(4):
            region = f"r{index % 2}"
            await site.add_node(
                "payments",
                f"az{index}",
                region,
                has_link=True,
                host=f"127.0.{1 + index % 2}.{1 + index}",
            )
        await site.wait_until_known(1)
        _split_regions(site, is_split=True)
        await trio.sleep(60.0)
        for node in site.nodes:
            parts = node.daemon.parts
            assert parts is not None
            regions = {row.region for row in parts.table.records if row.is_live}
            assert regions == {node.settings.region}, regions
            answer = await site.call(node, "payments", "during", "/look")
            assert answer.status == 200, answer
        await site.create_class("more", "payments", "/more")
        _split_regions(site, is_split=False)
        await site.wait_until_known(2, 60.0)


async def replace_all_in_turn() -> None:
    """Replacing every daemon in turn under load loses, doubles and cuts nothing."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=3)
        answers: dict[str, caller.CallerAnswer] = {}
        numbers = itertools.count()
        is_done = trio.Event()

        async def keep_paying() -> None:
            while not is_done.is_set():
                nonce = f"p{next(numbers)}"
                answers[nonce] = await site.call(
                    entry, "payments", nonce, "/pay", body=b"x"
                )
                await trio.sleep(0.02)

        first = site.nodes[:3]
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(keep_paying)
            for node in first:
                await trio.sleep(1.0)
                node.daemon.stop()
                await node.daemon.wait_stopped()
                await trio.sleep(0.2)
                await site.add_node("payments", replaces=node)
                await trio.sleep(5.0)
            is_done.set()
        assert len(answers) > 100
        for nonce, answer in answers.items():
            assert answer.status == 200 and answer.nonce == nonce, answer
            assert site.count_runs(nonce) == 1, nonce
        assert not any(node.upstream.cancelled for node in site.nodes)


SCENES: dict[str, Callable[[], Awaitable[None]]] = {
    "a drain takes effect within seconds": drain_within_seconds,
    "a dead daemon is avoided": avoid_dead_daemon,
    "a change is in force within seconds": change_within_seconds,
    "a daemon starts during an outage": start_during_outage,
    "everything restarts": restart_everything,
    "forged bytes change nothing": survive_forgery,
    "one endpoint is left, then none": serve_with_one_left,
    "two regions lose and find each other": lose_and_find_regions,
    "all daemons are replaced in turn": replace_all_in_turn,
}
