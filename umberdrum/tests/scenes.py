"""Scenes of whole daemons, each with the promise that it proves."""

import itertools
from collections.abc import Awaitable, Callable

import trio

from umberdrum import classes
from umberdrum.tests import harness
from umberdrum_bench import caller

LEAVING_SECONDS = 2.0
DEAD_SECONDS = 5.0
CHANGE_SECONDS = 4.0
N_NODES = 6


async def _start_payments(
    site: harness.Site, n_nodes: int = 2, n_slots: int = 4
) -> harness.Node:
    """Start payment endpoints behind links and return an entry without upstream."""
    await site.create_class(
        "pay", "payments", "/pay", is_idempotent=False, target_ms=1500
    )
    await site.create_class("look", "payments", "/look", target_ms=400)
    for _ in range(n_nodes):
        await site.add_node("payments", n_slots=n_slots, has_link=True)
    entry = await site.add_node("")
    await site.wait_until_known(2)
    await wait_for_candidates(site, entry, n_nodes)
    return entry


async def wait_for_candidates(
    site: harness.Site, entry: harness.Node, n_candidates: int
) -> None:
    """Return once the entry knows this many endpoints for payments."""
    parts = entry.daemon.parts
    assert parts is not None
    directory = parts.directory
    await site.wait_until(
        lambda: len(directory.list_candidates("payments")) == n_candidates
    )


async def settle_silent_payment() -> None:
    """A payment whose link goes silent is settled: whole answer, run once."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=1)
        node = site.nodes[0]
        node.upstream.service_seconds = 1.0
        async with trio.open_nursery() as nursery:

            async def silence() -> None:
                await trio.sleep(0.3)
                assert node.link is not None
                node.link.silence()

            nursery.start_soon(silence)
            answer = await site.call(entry, "payments", "p1", "/pay", body=b"x")
        assert answer.status == 200 and answer.nonce == "p1", answer
        assert site.count_runs("p1") == 1
        parts = entry.daemon.parts
        assert parts is not None
        assert (parts.peer_leg.n_silent_links, parts.peer_leg.n_settled) == (1, 1)


async def bar_late_payment() -> None:
    """A payment that never arrived is barred and may run elsewhere, once in all."""
    async with harness.open_site() as site:
        entry = await _start_payments(site)
        for node in site.nodes[:2]:
            assert node.link is not None
            # Connections that are open when a call comes swallow it.
            await site.call(entry, "payments", f"warm-{id(node)}", "/pay", body=b"x")
        for node in site.nodes[:2]:
            assert node.link is not None
            node.link.silence()
        answers = [
            await site.call(entry, "payments", f"p{index}", "/pay", body=b"x")
            for index in range(4)
        ]
        assert all(answer.status == 200 for answer in answers), answers
        assert all(site.count_runs(f"p{index}") == 1 for index in range(4))


async def lose_endpoint_in_payment() -> None:
    """A payment whose daemon dies is of unknown outcome, at once, never retried."""
    async with harness.open_site() as site:
        entry = await _start_payments(site)
        for node in site.nodes[:2]:
            node.upstream.service_seconds = 2.0
        async with trio.open_nursery() as nursery:

            async def kill_busy() -> None:
                await trio.sleep(0.5)
                for node in site.nodes[:2]:
                    if "p1" in node.upstream.begun:
                        site.kill(node)

            nursery.start_soon(kill_busy)
            began_at = trio.current_time()
            answer = await site.call(entry, "payments", "p1", "/pay", body=b"x")
            seconds = trio.current_time() - began_at
        assert (answer.kind, answer.execution) == ("outcome-unknown", "may-have-run")
        assert site.count_runs("p1") == 1
        assert seconds < 2.0, seconds


async def stop_without_cut() -> None:
    """A stopped daemon ends uploads in progress and refuses new work."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_slots=10)
        node = site.nodes[0]
        for row in site.nodes[:2]:
            row.upstream.service_seconds = 3.0
        answers = []
        async with trio.open_nursery() as nursery:

            async def upload(nonce: str) -> None:
                body = bytes(300_000)
                answers.append(
                    await site.call(entry, "payments", nonce, "/pay", body=body)
                )

            for index in range(4):
                nursery.start_soon(upload, f"u{index}")
            await trio.sleep(0.5)
            n_begun = len(node.upstream.begun)
            assert n_begun > 0
            node.daemon.stop()
            await trio.sleep(0.5)
            for index in range(4, 8):
                nursery.start_soon(upload, f"u{index}")
            await node.daemon.wait_stopped()
        assert [answer.status for answer in answers] == [200] * 8, answers
        assert len(node.upstream.begun) == n_begun
        assert not node.upstream.cancelled


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
            entry = await _start_payments(site)
            if is_store_down:
                site.server.switch_faults({"down": True})
            node = site.nodes[0]
            node.upstream.state = "draining"
            await site.announce(node, "payments", 4, "draining")
            await _count_late_calls(site, entry, node, LEAVING_SECONDS)


async def avoid_dead_daemon() -> None:
    """A daemon that dies without a word is out of use everywhere within 5 s."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=3)
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
        entry = await _start_payments(site, n_nodes=1)
        site.server.switch_faults({"down": True})
        late = await site.add_node(
            "payments", seeds=(site.nodes[0].settings.peer_advertise,)
        )
        await site.wait_until_known(2, 20.0)
        await wait_for_candidates(site, entry, 2)
        answer = await site.call(late, "payments", "n1", "/look")
        assert answer.status == 200, answer


async def restart_everything() -> None:
    """After a restart of all daemons the same configuration is in force."""
    async with harness.open_site() as site:
        await _start_payments(site, n_nodes=3)
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
        await wait_for_candidates(site, site.nodes[-1], 3)
        answer = await site.call(site.nodes[-1], "payments", "p1", "/pay", body=b"x")
        assert answer.status == 200, answer
        answer = await site.call(site.nodes[-1], "payments", "l1", "/look")
        assert answer.kind == "unknown-class", answer


async def hedge_slow_lookup() -> None:
    """A lookup at a stalled endpoint is answered by another; the loser is cancelled."""
    async with harness.open_site() as site:
        entry = await _start_payments(site)
        slow = site.nodes[0]
        slow.upstream.service_seconds = 50.0
        answers = [
            await site.call(entry, "payments", f"l{index}", "/look")
            for index in range(10)
        ]
        assert all(answer.status == 200 for answer in answers), answers
        assert max(answer.seconds for answer in answers) < 0.4, answers
        await trio.sleep(1.0)
        assert slow.upstream.begun and slow.upstream.n_running == 0
        assert len(slow.upstream.cancelled) == len(slow.upstream.begun)


async def cancel_left_lookup() -> None:
    """A lookup whose caller leaves is cancelled at the upstream; a payment is not."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=1)
        node = site.nodes[0]
        node.upstream.service_seconds = 3.0
        for path, body in (("/look", b""), ("/pay", b"x")):
            with trio.move_on_after(0.5):
                await site.call(entry, "payments", path, path, body=body)
        await trio.sleep(5.0)
        assert node.upstream.cancelled == ["/look"], node.upstream.cancelled
        assert node.upstream.ended == ["/pay"], node.upstream.ended


async def refuse_overload() -> None:
    """Calls beyond slots and queue are refused at once, truthfully as not run."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=1)
        site.nodes[0].upstream.service_seconds = 0.1
        await site.call(entry, "payments", "warm", "/pay", body=b"x")
        answers = []
        async with trio.open_nursery() as nursery:

            async def pay(nonce: str) -> None:
                answers.append(
                    await site.call(entry, "payments", nonce, "/pay", body=b"x")
                )

            for index in range(60):
                nursery.start_soon(pay, f"p{index}")
        refused = [answer for answer in answers if answer.kind]
        assert 10 <= len(refused) < 40, len(refused)
        assert {row.kind for row in refused} == {"overloaded"}, refused
        assert {row.execution for row in refused} == {"not-run"}, refused
        assert max(row.seconds for row in refused) < 0.2, refused
        assert len(site.nodes[0].upstream.begun) == 1 + 60 - len(refused)


async def survive_forgery() -> None:
    """Random and replayed bytes on the peer port change nothing."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=1)
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


async def change_target_without_restart() -> None:
    """A changed target changes the deadline of the next calls."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=1)
        repository = site.build_repository()
        found = (await repository.get_class("pay")).ok
        assert found is not None
        target = classes.Target(1000, 99.0)
        changed = found.request_class._replace(target=target, change_id="next")
        assert (await repository.write_class(changed, found.revision)).is_ok()
        await trio.sleep(CHANGE_SECONDS)
        began_at = trio.current_time()
        answer = await site.call(entry, "payments", "p1", "/pay", "hang", b"x")
        assert answer.kind == "deadline-exceeded", answer
        assert 7.9 <= trio.current_time() - began_at <= 8.3


async def serve_with_one_left() -> None:
    """With every other endpoint gone the last one still serves; with none, refusal."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=3)
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


async def leave_shedding_endpoint() -> None:
    """Lookups that one upstream sheds are answered by another; payments are told."""
    async with harness.open_site() as site:
        entry = await _start_payments(site)
        site.nodes[0].upstream.constant_fault = "shed"
        for index in range(10):
            answer = await site.call(entry, "payments", f"l{index}", "/look")
            assert answer.status == 200, answer
        statuses = set()
        for index in range(10):
            nonce = f"p{index}"
            answer = await site.call(entry, "payments", nonce, "/pay", body=b"x")
            statuses.add(answer.status)
            assert site.count_runs(nonce) == 1
        assert statuses == {200, 503}, statuses


async def reload_measuring_cap() -> None:
    """A measuring budget of 0, taken by a reload, ends reports; calls still work."""
    async with harness.open_site() as site:
        entry = await _start_payments(site, n_nodes=1)
        parts = entry.daemon.parts
        assert parts is not None
        node = site.nodes[0]
        key = parts.directory.list_candidates("payments")[0].key
        reports = []
        for cap in (1000, 0):
            changed = node.settings._replace(measuring_bytes_per_second=cap)
            node.daemon.reload(changed)
            await trio.sleep(1.5)
            answer = await site.call(entry, "payments", f"n{cap}", "/look")
            assert answer.status == 200, answer
            view = parts.entry.router.get_view(key)
            assert view is not None
            reports.append(view.report)
        assert reports[0] is not None
        assert reports[1] is reports[0], "a report came without a budget"


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
        entry = await _start_payments(site, n_nodes=3)
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
    "a silent payment is settled": settle_silent_payment,
    "a payment that never arrived is barred": bar_late_payment,
    "an endpoint is lost in a payment": lose_endpoint_in_payment,
    "a stop cuts nothing": stop_without_cut,
    "a drain takes effect within seconds": drain_within_seconds,
    "a dead daemon is avoided": avoid_dead_daemon,
    "a change is in force within seconds": change_within_seconds,
    "a daemon starts during an outage": start_during_outage,
    "everything restarts": restart_everything,
    "a slow lookup is hedged": hedge_slow_lookup,
    "a caller leaves": cancel_left_lookup,
    "overload is refused": refuse_overload,
    "forged bytes change nothing": survive_forgery,
    "a target changes without a restart": change_target_without_restart,
    "one endpoint is left, then none": serve_with_one_left,
    "the measuring budget is reloaded": reload_measuring_cap,
    "an upstream sheds load": leave_shedding_endpoint,
    "two regions lose and find each other": lose_and_find_regions,
    "all daemons are replaced in turn": replace_all_in_turn,
}
