"""Fault matrix: injects every fault at every step and checks the guarantees."""

from collections.abc import Awaitable, Callable

import trio

from umberdrum import classes
from umberdrum.tests import harness
from umberdrum_bench import caller

N_CALLS = 4
STORE_DELAY_SECONDS = 5.0
FAULT_SECONDS = 3.0
CONVERGENCE_SECONDS = 120.0


class MatrixSite:
    """Site of the matrix: three payment endpoints, and an entry daemon without one.

    Faults are injected at the first endpoint, which is reached through a link proxy.
    Steps are taken at the other endpoints. Calls enter at the entry daemon.
    """

    def __init__(self, site: harness.Site) -> None:
        self.site = site
        self.answers: dict[str, caller.CallerAnswer] = {}
        self.accepted_latency_ms = 0
        self.last_revisions: dict[str, int] = {}
        self._n_calls = 0

    async def start(self) -> None:
        """Create the classes and start the nodes."""
        site = self.site
        await site.create_class("pay", "payments", "/pay", is_idempotent=False)
        await site.create_class("look", "payments", "/look")
        self.faulty = await site.add_node("payments", "az1", has_link=True)
        self.second = await site.add_node("payments", "az2")
        self.third = await site.add_node("payments", "az1")
        self.entry = await site.add_node("", "az2")
        await site.wait_until_known(2)
        await site.wait_until(lambda: self._count_serving() >= 3)

    async def send_calls(self, fault: str = "") -> None:
        """Send payments and lookups concurrently and store their answers."""
        async with trio.open_nursery() as nursery:
            for _ in range(N_CALLS):
                for path in ("/pay", "/look"):
                    self._n_calls += 1
                    nonce = f"{path[1:]}-{self._n_calls}"
                    nursery.start_soon(self._send_one, nonce, path, fault)

    async def change_target(self) -> None:
        """Change a class's latency target as an operator; record it if accepted."""
        repository = self.site.build_repository()
        found = await repository.get_class("look")
        if found.is_error() or found.ok is None:
            return
        current_class = found.ok.request_class
        latency_ms = current_class.target.latency_ms + 10
        changed = current_class._replace(
            target=classes.Target(latency_ms, 99.0), change_id=f"change-{latency_ms}"
        )
        written = await repository.write_class(changed, found.ok.revision)
        if written.is_ok():
            self.accepted_latency_ms = max(self.accepted_latency_ms, latency_ms)

    def check_revisions(self) -> None:
        """Assert that no daemon's revision is lower than when last recorded."""
        for node in self.site.nodes:
            parts = node.daemon.parts
            if parts is None:
                continue
            key = f"{node.endpoint_id} {id(node)}"
            revision = parts.state.catalog.revision
            assert revision >= self.last_revisions.get(key, 0), key
            self.last_revisions[key] = revision

    async def check_guarantees(self) -> None:
        """Wait until the daemons converge after healing, then check every guarantee."""
        site = self.site
        await site.wait_until(self._is_converged, CONVERGENCE_SECONDS)
        await self.send_calls()
        for nonce, answer in self.answers.items():
            n_runs = site.count_runs(nonce)
            assert answer.status != 0, f"{nonce}: no final answer"
            if nonce.startswith("pay"):
                assert n_runs <= 1, f"{nonce}: ran {n_runs} times"
            if answer.kind:
                is_stated_not_run = answer.execution == "not-run"
                assert not (is_stated_not_run and n_runs), (
                    f"{nonce}: reported as not run, but ran"
                )
            else:
                assert answer.nonce == nonce, (
                    f"{nonce}: got the answer of {answer.nonce}"
                )
        last_answers = list(self.answers.values())[-2 * N_CALLS :]
        assert all(not answer.kind for answer in last_answers), (
            f"calls failed after healing: {last_answers}"
        )
        self.check_revisions()

    async def _send_one(self, nonce: str, path: str, fault: str) -> None:
        body = b"x" if path == "/pay" else b""
        self.answers[nonce] = await self.site.call(
            self.entry, "payments", nonce, path, fault, body, deadline_ms=8000
        )

    def _count_serving(self) -> int:
        parts = self.entry.daemon.parts
        if parts is None:
            return 0
        return len(parts.directory.list_candidates("payments"))

    def _is_converged(self) -> bool:
        """Return whether all running daemons agree and hold the accepted target."""
        digests: set[tuple[int, int]] = set()
        for node in self.site.nodes:
            parts = node.daemon.parts
            if parts is None or node.scope.cancel_called:
                continue
            digests.add((parts.table.digest, parts.state.catalog.digest))
            targets = [
                entry.target.latency_ms
                for entry in parts.state.catalog.list_classes()
                if entry.name == "look"
            ]
            if targets != [self.accepted_latency_ms or targets[0] if targets else 0]:
                return False
        return len(digests) == 1 and self._count_serving() >= 2


Action = Callable[[MatrixSite], Awaitable[None]]


async def _slow_upstream(matrix_site: MatrixSite) -> None:
    matrix_site.faulty.upstream.service_seconds = 1.0


async def _heal_upstream(matrix_site: MatrixSite) -> None:
    matrix_site.faulty.upstream.service_seconds = 0.01
    matrix_site.faulty.upstream.constant_fault = ""


async def _fail_upstream(matrix_site: MatrixSite) -> None:
    matrix_site.faulty.upstream.constant_fault = "error"


async def _disconnect_upstream(matrix_site: MatrixSite) -> None:
    matrix_site.faulty.upstream.constant_fault = "close-before-answer"


async def _drain_upstream(matrix_site: MatrixSite) -> None:
    matrix_site.faulty.upstream.state = "draining"
    await matrix_site.site.announce(matrix_site.faulty, "payments", 4, "draining")


async def _undrain_upstream(matrix_site: MatrixSite) -> None:
    matrix_site.faulty.upstream.state = "serving"


async def _kill_daemon(matrix_site: MatrixSite) -> None:
    matrix_site.site.kill(matrix_site.faulty)


async def _replace_daemon(matrix_site: MatrixSite) -> None:
    matrix_site.faulty = await matrix_site.site.add_node(
        "payments", replaces=matrix_site.faulty
    )


async def _silence_link(matrix_site: MatrixSite) -> None:
    assert matrix_site.faulty.link is not None
    matrix_site.faulty.link.silence()


async def _pause_daemon(matrix_site: MatrixSite) -> None:
    assert matrix_site.faulty.link is not None
    matrix_site.faulty.link.pause()


async def _resume_daemon(matrix_site: MatrixSite) -> None:
    assert matrix_site.faulty.link is not None
    matrix_site.faulty.link.resume()


async def _stop_store(matrix_site: MatrixSite) -> None:
    matrix_site.site.server.switch_faults({"down": True})


async def _slow_store(matrix_site: MatrixSite) -> None:
    matrix_site.site.faults.delay_seconds = STORE_DELAY_SECONDS


async def _lose_store_answer(matrix_site: MatrixSite) -> None:
    matrix_site.site.faults.n_lost_answers = 1


async def _heal_store(matrix_site: MatrixSite) -> None:
    matrix_site.site.server.switch_faults(
        {"down": False, "delay_ms": 0, "lost_answers": 0}
    )


async def _expire_leases(matrix_site: MatrixSite) -> None:
    matrix_site.site.server.switch_faults({"lapse": True})


async def _compact_store(matrix_site: MatrixSite) -> None:
    matrix_site.site.server.switch_faults({"compact": True})


async def _change_concurrently(matrix_site: MatrixSite) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(matrix_site.change_target)
        nursery.start_soon(matrix_site.change_target)


async def _skip_healing(matrix_site: MatrixSite) -> None:
    return


FAULTS: dict[str, tuple[Action, Action]] = {
    "slow upstream": (_slow_upstream, _heal_upstream),
    "failing upstream": (_fail_upstream, _heal_upstream),
    "upstream disconnects": (_disconnect_upstream, _heal_upstream),
    "draining upstream": (_drain_upstream, _undrain_upstream),
    "killed daemon": (_kill_daemon, _replace_daemon),
    "silent links": (_silence_link, _skip_healing),
    "paused daemon": (_pause_daemon, _resume_daemon),
    "store down": (_stop_store, _heal_store),
    "store slow": (_slow_store, _heal_store),
    "lost store answer": (_lose_store_answer, _heal_store),
    "expired leases": (_expire_leases, _skip_healing),
    "store compaction": (_compact_store, _skip_healing),
    "concurrent operators": (_change_concurrently, _skip_healing),
}


async def _announce_after_fault(matrix_site: MatrixSite, inject: Action) -> None:
    await inject(matrix_site)
    await matrix_site.site.announce(matrix_site.third, "payments", 6, "serving")
    await matrix_site.send_calls()


async def _join_after_fault(matrix_site: MatrixSite, inject: Action) -> None:
    await inject(matrix_site)
    await matrix_site.site.add_node("payments", "az3")
    await matrix_site.send_calls()


async def _call_after_fault(matrix_site: MatrixSite, inject: Action) -> None:
    await inject(matrix_site)
    await matrix_site.send_calls()


async def _inject_during_answers(matrix_site: MatrixSite, inject: Action) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(matrix_site.send_calls, "slow")
        await trio.sleep(0.5)
        await inject(matrix_site)


async def _inject_before_retry(matrix_site: MatrixSite, inject: Action) -> None:
    matrix_site.second.upstream.constant_fault = "close-before-answer"
    await inject(matrix_site)
    await matrix_site.send_calls()
    matrix_site.second.upstream.constant_fault = ""


async def _inject_during_drain(matrix_site: MatrixSite, inject: Action) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(matrix_site.send_calls, "slow")
        await trio.sleep(0.2)
        matrix_site.second.upstream.state = "draining"
        await matrix_site.site.announce(matrix_site.second, "payments", 4, "draining")
        await inject(matrix_site)
    matrix_site.second.upstream.state = "serving"


async def _inject_during_stop(matrix_site: MatrixSite, inject: Action) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(matrix_site.send_calls, "slow")
        await trio.sleep(0.2)
        matrix_site.second.daemon.stop()
        await inject(matrix_site)
        await matrix_site.second.daemon.wait_stopped()
    assert not matrix_site.second.upstream.cancelled, "the stop interrupted requests"


async def _change_after_fault(matrix_site: MatrixSite, inject: Action) -> None:
    await inject(matrix_site)
    await matrix_site.change_target()
    await matrix_site.send_calls()


async def _wait_for_lease_after_fault(matrix_site: MatrixSite, inject: Action) -> None:
    await inject(matrix_site)
    await trio.sleep(15.0)
    await matrix_site.send_calls()


async def _inject_between_changes(matrix_site: MatrixSite, inject: Action) -> None:
    await matrix_site.change_target()
    await inject(matrix_site)
    matrix_site.check_revisions()
    await matrix_site.change_target()
    await matrix_site.send_calls()


STEPS: dict[str, Callable[[MatrixSite, Action], Awaitable[None]]] = {
    "announce": _announce_after_fault,
    "join": _join_after_fault,
    "call": _call_after_fault,
    "answer": _inject_during_answers,
    "retry": _inject_before_retry,
    "drain": _inject_during_drain,
    "stop": _inject_during_stop,
    "configuration change": _change_after_fault,
    "lease renewal": _wait_for_lease_after_fault,
    "store watch": _inject_between_changes,
}


async def run_cell(step: str, faults: list[str]) -> None:
    """Inject the faults at one step, heal them and check every guarantee."""
    async with harness.open_site() as site:
        matrix_site = MatrixSite(site)
        await matrix_site.start()

        async def inject(target: MatrixSite) -> None:
            for fault in faults:
                await FAULTS[fault][0](target)

        await STEPS[step](matrix_site, inject)
        matrix_site.check_revisions()
        await trio.sleep(FAULT_SECONDS)
        for fault in faults:
            await FAULTS[fault][1](matrix_site)
        await matrix_site.check_guarantees()
