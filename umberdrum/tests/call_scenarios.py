"""Scenarios of calls through whole daemons; each checks one guarantee."""

import contextlib
from collections.abc import Awaitable, Callable

import trio

from umberdrum import classes, sockets
from umberdrum.tests import harness, payment_site

MAX_PROPAGATION_SECONDS = 4.0


async def resolve_silent_payment() -> None:
    """A payment on a silent link gets its whole answer and runs once."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
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
        assert (
            parts.peer_client.n_silent_links,
            parts.peer_client.n_outcome_resolutions,
        ) == (1, 1)


async def bar_undelivered_payment() -> None:
    """A payment that was not delivered is barred there and runs once elsewhere."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site)
        for node in site.nodes[:2]:
            assert node.link is not None
            # A call sent over a connection that is already open is lost on the link.
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


async def kill_daemon_during_payment() -> None:
    """A payment whose daemon dies fails at once as outcome-unknown, with no retry."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site)
        for node in site.nodes[:2]:
            node.upstream.service_seconds = 2.0
        async with trio.open_nursery() as nursery:

            async def kill_serving_node() -> None:
                await trio.sleep(0.5)
                for node in site.nodes[:2]:
                    if "p1" in node.upstream.begun:
                        site.kill(node)

            nursery.start_soon(kill_serving_node)
            started_at = trio.current_time()
            answer = await site.call(entry, "payments", "p1", "/pay", body=b"x")
            seconds = trio.current_time() - started_at
        assert (answer.kind, answer.execution) == ("outcome-unknown", "may-have-run")
        assert site.count_runs("p1") == 1
        assert seconds < 2.0, seconds


async def stop_during_uploads() -> None:
    """A stopping daemon completes uploads in progress and accepts no new work."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_slots=10)
        for payment_node in site.nodes[:2]:
            payment_node.upstream.service_seconds = 3.0
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
            # Which endpoint gets the uploads depends on random choices.
            node = max(site.nodes[:2], key=lambda row: len(row.upstream.begun))
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


async def hedge_slow_lookup() -> None:
    """A lookup at a stalled endpoint is hedged; the slower attempt is cancelled."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site)
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


async def cancel_abandoned_lookup() -> None:
    """A lookup whose caller disconnects is cancelled upstream; a payment is not."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        node = site.nodes[0]
        node.upstream.service_seconds = 3.0
        for path, body in (("/look", b""), ("/pay", b"x")):
            with trio.move_on_after(0.5):
                await site.call(entry, "payments", path, path, body=body)
        await trio.sleep(5.0)
        assert node.upstream.cancelled == ["/look"], node.upstream.cancelled
        assert node.upstream.ended == ["/pay"], node.upstream.ended


async def refuse_overload() -> None:
    """Calls beyond slots and queue are refused at once as not run, which is true."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
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
        assert {refusal.kind for refusal in refused} == {"overloaded"}, refused
        assert {refusal.execution for refusal in refused} == {"not-run"}, refused
        assert max(refusal.seconds for refusal in refused) < 0.2, refused
        assert len(site.nodes[0].upstream.begun) == 1 + 60 - len(refused)


async def change_target_without_restart() -> None:
    """A changed latency target changes the deadline of later calls."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        repository = site.build_repository()
        found = (await repository.get_class("pay")).ok
        assert found is not None
        target = classes.Target(1000, 99.0)
        changed = found.request_class._replace(target=target, change_id="next")
        assert (await repository.write_class(changed, found.revision)).is_ok()
        await trio.sleep(MAX_PROPAGATION_SECONDS)
        started_at = trio.current_time()
        answer = await site.call(entry, "payments", "p1", "/pay", "hang", b"x")
        assert answer.kind == "deadline-exceeded", answer
        assert 7.9 <= trio.current_time() - started_at <= 8.3


async def close_idle_connections() -> None:
    """A stopping daemon closes connections that are idle after an answered lookup."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site)
        connection = await sockets.connect(entry.settings.caller_listen, 1.0)
        await connection.send(_render_lookup("l1"))
        assert (await connection.receive()).startswith(b"HTTP/1.1 200")
        await trio.sleep(0.1)
        entry.daemon.stop()
        await trio.sleep(0.1)
        with contextlib.suppress(sockets.ConnectionLostError):
            await connection.send(_render_lookup("l2"))
            assert await connection.receive() == b"", "served after the stop"
        await entry.daemon.wait_stopped()
        assert site.count_runs("l2") == 0


def _render_lookup(nonce: str) -> bytes:
    return (
        f"GET /look HTTP/1.1\r\nhost: payments\r\numberdrum-request-id: {nonce}\r\n"
        f"x-nonce: {nonce}\r\n\r\n"
    ).encode()


async def retry_shed_lookups() -> None:
    """Another upstream answers lookups that one sheds; payments get the 503."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site)
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


async def reload_measuring_budget() -> None:
    """Reloading a measuring budget of 0 stops load reports; calls still succeed."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        parts = entry.daemon.parts
        assert parts is not None
        node = site.nodes[0]
        key = parts.directory.list_candidates("payments")[0].key
        reports = []
        for budget in (1000, 0):
            changed = node.settings._replace(measuring_bytes_per_second=budget)
            node.daemon.reload(changed)
            await trio.sleep(1.5)
            answer = await site.call(entry, "payments", f"n{budget}", "/look")
            assert answer.status == 200, answer
            view = parts.entry.router.get_endpoint_stats(key)
            assert view is not None
            reports.append(view.report)
        assert reports[0] is not None
        assert reports[1] is reports[0], "a load report arrived with a budget of 0"


async def raise_in_connection_handler() -> None:
    """An exception in the handler of one connection closes that connection only."""
    async with harness.open_site() as site:
        address = harness.find_free_address()

        async def handle(connection: sockets.Connection) -> None:
            if await connection.receive() == b"bad":
                raise ValueError("unexpected error")
            await connection.send(b"served")

        async with trio.open_nursery() as nursery:
            listener = sockets.bind_tcp(address)
            nursery.start_soon(sockets.accept_connections, listener, handle, 10)
            assert await site.send_raw(address, b"bad") == b""
            assert await site.send_raw(address, b"good") == b"served"
            nursery.cancel_scope.cancel()
        listener.close()


async def upload_slowly() -> None:
    """A body that arrives slowly holds no slot; its call runs once it is complete."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1, n_slots=1)
        for at_endpoint in (False, True):
            node = site.nodes[0] if at_endpoint else entry
            nonce = f"slow-{at_endpoint}"
            caller = await sockets.connect(node.settings.caller_listen, 1.0)
            head = (
                f"POST /pay HTTP/1.1\r\nhost: payments\r\nx-nonce: {nonce}\r\n"
                f"umberdrum-deadline-ms: 5000\r\ncontent-length: 200000\r\n\r\n"
            )
            await caller.send(head.encode() + bytes(100_000))
            for index in range(10):
                await trio.sleep(0.1)
                lookup = f"{nonce}-look-{index}"
                answer = await site.call(entry, "payments", lookup, "/look")
                assert answer.status == 200 and answer.seconds < 0.1, answer
            assert nonce not in site.nodes[0].upstream.begun
            await caller.send(bytes(100_000))
            answer_head = await caller.receive()
            assert answer_head.startswith(b"HTTP/1.1 200"), answer_head
            assert site.count_runs(nonce) == 1
            caller.close()


async def disconnect_during_upload() -> None:
    """A call whose caller disconnects while it sends the body does not run."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1, n_slots=1)
        caller = await sockets.connect(entry.settings.caller_listen, 1.0)
        await caller.send(
            b"POST /pay HTTP/1.1\r\nhost: payments\r\nx-nonce: left\r\n"
            b"content-length: 200000\r\n\r\n" + bytes(100_000)
        )
        await trio.sleep(0.2)
        caller.close()
        await trio.sleep(0.5)
        assert "left" not in site.nodes[0].upstream.begun
        answer = await site.call(entry, "payments", "p1", "/pay", body=bytes(60_000))
        assert answer.status == 200, answer


async def drop_idle_connections() -> None:
    """An upstream that drops idle connections loses no payment and few lookups."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        site.nodes[0].upstream.idle_timeout_seconds = 0.3
        for index in range(20):
            await trio.sleep(0.5)
            answer = await site.call(entry, "payments", f"p{index}", "/pay", body=b"x")
            assert answer.status == 200, answer
        n_failed = 0
        for index in range(20):
            await trio.sleep(0.4)
            answer = await site.call(entry, "payments", f"l{index}", "/look")
            n_failed += answer.status != 200
        # A lost call halves the allowed idle time; 5 s without a loss double it again.
        assert n_failed <= 3, n_failed


async def deliver_late_answer_body() -> None:
    """An answer whose head arrives before the deadline is delivered in full."""
    async with harness.open_site() as site:
        entry = await payment_site.start_payments(site, n_nodes=1)
        site.nodes[0].upstream.service_seconds = 0.45
        for node in (site.nodes[0], entry):
            for path, body in (("/look", b""), ("/pay", b"x")):
                answer = await site.call(
                    node,
                    "payments",
                    f"late-{node.endpoint_id}{path}",
                    path,
                    fault="late-body",
                    body=body,
                    deadline_ms=500,
                )
                assert answer.status == 200, (path, answer)


SCENARIOS: dict[str, Callable[[], Awaitable[None]]] = {
    "a handler error closes one connection only": raise_in_connection_handler,
    "the outcome of a payment on a silent link is resolved": resolve_silent_payment,
    "an undelivered payment is barred and retried": bar_undelivered_payment,
    "a daemon dies during a payment": kill_daemon_during_payment,
    "a stop interrupts no upload": stop_during_uploads,
    "a stop closes idle keep-alive connections": close_idle_connections,
    "a slow lookup is hedged": hedge_slow_lookup,
    "a caller disconnects during a call": cancel_abandoned_lookup,
    "calls beyond capacity are refused": refuse_overload,
    "a latency target changes without a restart": change_target_without_restart,
    "the measuring budget is reloaded": reload_measuring_budget,
    "an upstream sheds load": retry_shed_lookups,
    "a request body arrives slowly": upload_slowly,
    "a caller disconnects during an upload": disconnect_during_upload,
    "an answer body ends just after the deadline": deliver_late_answer_body,
    "an upstream drops idle connections": drop_idle_connections,
}
