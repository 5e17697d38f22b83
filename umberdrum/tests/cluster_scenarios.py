"""Scenarios of several daemons together; each checks one guarantee."""

import itertools
from collections.abc import Awaitable, Callable

import trio

from umberdrum import membership
from umberdrum.tests import harness, payment_site
from umberdrum_bench import caller

MAX_DRAIN_NOTICE_SECONDS = 2.0
MAX_DEATH_DETECTION_SECONDS = 5.0
MAX_PROPAGATION_SECONDS = 4.0
N_NODES = 6


async def _check_no_late_calls(
    site: harness.Site, entry: harness.Node, node: harness.Node, limit_seconds: float
) -> None:
    """Send lookups; assert that none begins at ``node`` after ``limit_seconds``."""
    until = trio.current_time() + limit_seconds
    while trio.current_time() < until:
        await site.call(entry, "payments", "early", "/look")
    n_begun = len(node.upstream.begun)
    for _ in range(50):
        answer = await site.call(entry, "payments", "late", "/look")
        assert answer.status == 200, answer
    assert len(node.upstream.begun) == n_begun, "a call began after the limit"


async def drain_upstream() -> None:
    """A draining upstream gets no new calls after 2 s, also when the store is down."""
    for is_store_down in (False, True):
        async with harness.open_site() as site:
            entry = await payment_site.start_payments(site)
            if is_store_down:
                site.server.switch_faults({"down": True})
            node = site.nodes[0]
            node.upstream.state = "draining"
            await site.announce(node, "payments", 4, "draining")
            await _check_no_late_calls(site, entry, node, MAX_DRAIN_NOTICE_SECONDS)


async def detect_dead_daemon() -> None:
    """Within 5 s of a daemon's crash all other daemons have dropped or suspect it."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=3)
        site.kill(site.nodes[0])
        await trio.sleep(MAX_DEATH_DETECTION_SECONDS)
        for node in site.nodes[1:]:
            parts = node.daemon.parts
            assert parts is not None
            record = parts.table.get(site.nodes[0].endpoint_id)
            assert record is None or record.is_suspected, record
        for index in range(20):
            answer = await site.call(entry, "payments", f"n{index}", "/look")
            assert answer.status == 200 and answer.seconds < 0.5, answer


async def propagate_change() -> None:
    """An accepted change reaches all daemons of two regions within 4 s."""
    async with harness.open_site() as site:
        await site.create_class("look", "payments", "/look")
        for index in range(N_NODES):
            zone = f"az{index % 3}"
            await site.add_node("payments", zone, region=f"r{index % 2}")
        await site.wait_until_known(1)
        await trio.sleep(5.0)
        await site.create_class("more", "payments", "/more")
        await trio.sleep(MAX_PROPAGATION_SECONDS)
        assert site.is_known(2)
        repository = site.build_repository()
        found = (await repository.get_class("more")).ok
        assert found is not None
        assert (await repository.delete_class("more", found.revision)).is_ok()
        await trio.sleep(MAX_PROPAGATION_SECONDS)
        for node in site.nodes:
            parts = node.daemon.parts
            assert parts is not None
            names = [entry.name for entry in parts.state.catalog.list_classes()]
            assert names == ["look"], names


async def start_during_store_outage() -> None:
    """A daemon that starts while the store is down gets all state from a seed."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        site.server.switch_faults({"down": True})
        new_node = await site.add_node(
            "payments", seeds=(site.nodes[0].settings.peer_advertise,)
        )
        await site.wait_until_known(2, 20.0)
        await payment_site.wait_for_candidates(site, entry, 2)
        answer = await site.call(new_node, "payments", "n1", "/look")
        assert answer.status == 200, answer


async def restart_all_daemons() -> None:
    """After a restart of all daemons the same configuration is in force."""
    async with harness.open_site() as site:
        await payment_site.start_payments(site, n_nodes=3)
        repository = site.build_repository()
        found = (await repository.get_class("look")).ok
        assert found is not None
        assert (await repository.delete_class("look", found.revision)).is_ok()
        old_nodes = list(site.nodes)
        for node in old_nodes:
            site.kill(node)
        await trio.sleep(1.0)
        site.nodes.clear()
        for node in old_nodes:
            service = "" if node is old_nodes[-1] else "payments"
            await site.add_node(service, replaces=node)
        await site.wait_until_known(1, 30.0)
        await payment_site.wait_for_candidates(site, site.nodes[-1], 3)
        answer = await site.call(site.nodes[-1], "payments", "p1", "/pay", body=b"x")
        assert answer.status == 200, answer
        answer = await site.call(site.nodes[-1], "payments", "l1", "/look")
        assert answer.kind == "unknown-class", answer


async def reject_forged_bytes() -> None:
    """Random and replayed bytes on the peer port change nothing."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        parts = entry.daemon.parts
        assert parts is not None
        digest = parts.table.digest
        address = entry.settings.peer_listen
        udp_socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        for raw in (b"", b"\0" * 40, bytes(range(200)), b"x" * 1400):
            await udp_socket.sendto(raw, (address.host, address.port))
            await site.send_raw(address, raw)
        await trio.sleep(1.0)
        udp_socket.close()
        assert parts.table.digest == digest
        answer = await site.call(entry, "payments", "n1", "/look")
        assert answer.status == 200, answer
        assert any("peer_refused" in line for line in entry.log_lines)
        assert any("datagram_refused" in line for line in entry.log_lines)


async def fail_all_endpoints() -> None:
    """The last live endpoint serves all calls; without one, calls are refused."""
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


def _partition_regions(site: harness.Site, is_partitioned: bool) -> None:
    """Drop the datagrams between nodes of different regions, or stop dropping them."""
    for node in site.nodes:
        assert node.link is not None
        remote_hosts = [
            other.settings.peer_listen.host
            for other in site.nodes
            if other.settings.region != node.settings.region
        ]
        node.link.blocked_hosts = frozenset(remote_hosts if is_partitioned else ())


async def partition_and_rejoin_regions() -> None:
    """Regions that lose gossip suspect each other, still serve, and converge later."""
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
        _partition_regions(site, is_partitioned=True)
        await trio.sleep(60.0)
        for node in site.nodes:
            parts = node.daemon.parts
            assert parts is not None
            regions = {
                record.region for record in parts.table.records if record.is_live
            }
            assert regions == {node.settings.region}, regions
            answer = await site.call(node, "payments", "during", "/look")
            assert answer.status == 200, answer
        await site.create_class("more", "payments", "/more")
        _partition_regions(site, is_partitioned=False)
        await site.wait_until_known(2, 60.0)


async def replace_daemons_in_turn() -> None:
    """A rolling replacement under load loses, repeats and interrupts no payment."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=3)
        answers: dict[str, caller.CallerAnswer] = {}
        payment_numbers = itertools.count()
        is_done = trio.Event()

        async def send_payments() -> None:
            while not is_done.is_set():
                nonce = f"p{next(payment_numbers)}"
                answers[nonce] = await site.call(
                    entry, "payments", nonce, "/pay", body=b"x"
                )
                await trio.sleep(0.02)

        old_nodes = site.nodes[:3]
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send_payments)
            for node in old_nodes:
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


async def announce_departure() -> None:
    """All daemons learn of a departure at once, a lost datagram is repeated.

    Load pattern: daemons are restarted one after the other. A peer that has not heard
    of a departure may send a call just when the daemon ends.
    """
    async with harness.open_site() as site:
        leaving = await site.add_node("payments", host="127.0.9.1")
        for index in range(11):
            await site.add_node("payments", f"az{index % 3}", has_link=index == 0)
        await site.wait_until_known(0)
        peers = site.nodes[1:]
        deaf = peers[0]
        assert deaf.link is not None
        deaf.link.blocked_hosts = frozenset([leaving.settings.peer_listen.host])
        leaving.daemon.stop()
        await trio.sleep(0.05)
        for node in peers[1:]:
            assert _has_left(node, leaving), node.endpoint_id
        deaf.link.blocked_hosts = frozenset()
        await trio.sleep(0.15)
        assert _has_left(deaf, leaving)
        await leaving.daemon.wait_stopped()


async def learn_of_predecessor() -> None:
    """A daemon that starts again learns at once of the earlier process at its address.

    Of two processes' records the one with the higher process id may replace the other
    before the new process has been told of it.
    """
    for seed in range(8):
        async with harness.open_site(seed) as site:
            for index in range(3):
                await site.add_node("payments", f"az{index}")
            await site.wait_until_known(0)
            first = site.nodes[0]
            site.kill(first)
            await trio.sleep(0.5)
            again = await site.add_node("payments", replaces=first)
            # A daemon that hasn't heard of one by then assumes that there was none.
            await trio.sleep(0.15)
            parts = again.daemon.parts
            assert parts is not None
            predecessor = parts.table.predecessor
            assert predecessor is not None, seed
            assert predecessor.state is membership.RecordState.SERVING, seed


async def leave_beside_restart() -> None:
    """A peer that is starting again does not hold up the departure of a daemon.

    Load pattern: daemons are restarted one after the other, so that one leaves while
    another has just started. The first one still knows the other's earlier process.
    """
    async with harness.open_site() as site:
        for index in range(3):
            await site.add_node("payments", f"az{index}")
        await site.wait_until_known(0)
        leaving, peer = site.nodes[:2]
        site.kill(peer)
        leaving.daemon.stop()
        await trio.sleep(0.05)
        await site.add_node("payments", replaces=peer)
        with trio.fail_after(0.5):
            await leaving.daemon.wait_stopped()


async def announce_restart() -> None:
    """All daemons learn at once that the upstream of a restarted daemon serves.

    Load pattern: daemons are restarted one after the other. Until a peer knows that one
    serves again, it overloads the remaining ones.
    """
    async with harness.open_site() as site:
        for index in range(12):
            await site.add_node("payments", f"az{index % 3}")
        await site.wait_until_known(0)
        await trio.sleep(5.0)
        first = site.nodes[0]
        first.daemon.stop()
        await first.daemon.wait_stopped()
        await trio.sleep(1.0)
        again = await site.add_node("payments", replaces=first)
        await trio.sleep(0.1)
        assert again.daemon.parts is not None
        key = again.daemon.parts.table.own.key
        for node in site.nodes[1:]:
            assert node.daemon.parts is not None
            assert key in node.daemon.parts.directory.list_keys(), node.endpoint_id


def _has_left(observer: harness.Node, leaving: harness.Node) -> bool:
    """Return whether ``observer`` knows that the daemon of ``leaving`` has left."""
    parts = observer.daemon.parts
    assert parts is not None
    record = parts.table.get(leaving.endpoint_id)
    return record is not None and record.is_final


SCENARIOS: dict[str, Callable[[], Awaitable[None]]] = {
    "a drain takes effect within seconds": drain_upstream,
    "a dead daemon receives no calls": detect_dead_daemon,
    "a configuration change takes effect within seconds": propagate_change,
    "a daemon starts during a store outage": start_during_store_outage,
    "all daemons restart": restart_all_daemons,
    "forged bytes change nothing": reject_forged_bytes,
    "all endpoints but one fail, then the last": fail_all_endpoints,
    "two regions are partitioned and rejoin": partition_and_rejoin_regions,
    "all daemons are replaced in turn": replace_daemons_in_turn,
    "a departure is known at once": announce_departure,
    "a restart is known at once": announce_restart,
    "a peer's restart does not hold up a departure": leave_beside_restart,
    "a daemon that starts again learns of its predecessor": learn_of_predecessor,
}
