"""Fault matrix: every fault of the brief at every step, with the promises checked."""

from collections.abc import Awaitable, Callable

import trio

from umberdrum import classes
from umberdrum.tests import harness
from umberdrum_bench import caller

N_CALLS = 4
STORE_DELAY_SECONDS = 5.0
HOLD_SECONDS = 3.0
CONVERGENCE_SECONDS = 120.0


class MatrixSite:
    """Site of the matrix: three payment endpoints and one entry daemon without any.

    Faults meet the first endpoint, which is reached through a link stand-in; steps are
    taken at the others. Calls enter at the entry daemon.
    """

    def __init__(self, site: harness.Site) -> None:
        self.site = site
        self.answers: dict[str, caller.CallerAnswer] = {}
        self.accepted_ms = 0
        self.n_revisions: dict[str, int] = {}
        self._n_calls = 0

    async def start(self) -> None:
        """Start the nodes and the classes."""
        site = self.site
        await site.create_class("pay", "payments", "/pay", is_idempotent=False)
        await site.create_class("look", "payments", "/look")
        self.victim = await site.add_node("payments", "az1", has_link=True)
        self.second = await site.add_node("payments", "az2")
        self.third = await site.add_node("payments", "az1")
        self.entry = await site.add_node("", "az2")
        await site.wait_until_known(2)
        await site.wait_until(lambda: self._count_serving() >= 3)

    async def send_calls(self, fault: str = "") -> None:
        """Send payments and lookups at once and keep the answers."""
        async with trio.open_nursery() as nursery:
            for _ in range(N_CALLS):
                for path in ("/pay", "/look"):
                    self._n_calls += 1
                    nonce = f"{path[1:]}-{self._n_calls}"
                    nursery.start_soon(self._send_one, nonce, path, fault)

    async def change_target(self) -> None:
        """Change the target of a class as an operator does, and note if accepted."""
        repository = self.site.build_repository()
        found = await repository.get_class("look")
        if found.is_error() or found.ok is None:
            return
        held = found.ok.request_class
        latency_ms = held.target.latency_ms + 10
        changed = held._replace(
            target=classes.Target(latency_ms, 99.0), change_id=f"change-{latency_ms}"
        )
        written = await repository.write_class(changed, found.ok.revision)
        if written.is_ok():
            self.accepted_ms = max(self.accepted_ms, latency_ms)

    def note_revisions(self) -> None:
        """Check that no daemon went back to a lower revision since the last look."""
        for node in self.site.nodes:
            parts = node.daemon.parts
            if parts is None:
                continue
            key = f"{node.endpoint_id} {id(node)}"
            revision = parts.state.catalog.revision
            assert revision >= self.n_revisions.get(key, 0), key
            self.n_revisions[key] = revision

    async def check_promises(self) -> None:
        """Check every promise once the fault is healed."""
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
                assert not (is_stated_not_run and n_runs), f"{nonce}: false not-run"
            else:
                assert answer.nonce == nonce, f"{nonce}: answer of {answer.nonce}"
        last = list(self.answers.values())[-2 * N_CALLS :]
        assert all(not answer.kind for answer in last), f"after healing: {last}"
        self.note_revisions()

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
        """Return whether all running daemons agree, on the accepted target too."""
        digests: set[tuple[int, int]] = set()
        for node in self.site.nodes:
            parts = node.daemon.parts
            if parts is None or node.scope.cancel_called:
                continue
            digests.add((parts.table.digest, parts.state.catalog.digest))
            targets = [
                row.target.latency_ms
                for row in parts.state.catalog.list_classes()
                if row.name == "look"
            ]
            if targets != [self.accepted_ms or targets[0] if targets else 0]:
                return False
        return len(digests) == 1 and self._count_serving() >= 2


Action = Callable[[MatrixSite], Awaitable[None]]


async def _slow_upstream(row: MatrixSite) -> None:
    row.victim.upstream.service_seconds = 1.0


async def _heal_upstream(row: MatrixSite) -> None:
    row.victim.upstream.service_seconds = 0.01
    row.victim.upstream.constant_fault = ""


async def _fail_fast(row: MatrixSite) -> None:
    row.victim.upstream.constant_fault = "error"


async def _break_off(row: MatrixSite) -> None:
    row.victim.upstream.constant_fault = "close-before-answer"


async def _drain_upstream(row: MatrixSite) -> None:
    row.victim.upstream.state = "draining"
    await row.site.announce(row.victim, "payments", 4, "draining")


async def _undrain_upstream(row: MatrixSite) -> None:
    row.victim.upstream.state = "serving"


async def _kill_daemon(row: MatrixSite) -> None:
    row.site.kill(row.victim)


async def _replace_daemon(row: MatrixSite) -> None:
    row.victim = await row.site.add_node("payments", replaces=row.victim)


async def _silence_links(row: MatrixSite) -> None:
    assert row.victim.link is not None
    row.victim.link.silence()


async def _pause_daemon(row: MatrixSite) -> None:
    assert row.victim.link is not None
    row.victim.link.pause()


async def _resume_daemon(row: MatrixSite) -> None:
    assert row.victim.link is not None
    row.victim.link.resume()


async def _stop_store(row: MatrixSite) -> None:
    row.site.server.switch_faults({"down": True})


async def _slow_store(row: MatrixSite) -> None:
    row.site.faults.delay_seconds = STORE_DELAY_SECONDS


async def _lose_answer(row: MatrixSite) -> None:
    row.site.faults.n_lost_answers = 1


async def _heal_store(row: MatrixSite) -> None:
    row.site.server.switch_faults({"down": False, "delay_ms": 0, "lost_answers": 0})


async def _lapse_leases(row: MatrixSite) -> None:
    row.site.server.switch_faults({"lapse": True})


async def _compact_store(row: MatrixSite) -> None:
    row.site.server.switch_faults({"compact": True})


async def _race_operators(row: MatrixSite) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(row.change_target)
        nursery.start_soon(row.change_target)


async def _heal_nothing(row: MatrixSite) -> None:
    return


FAULTS: dict[str, tuple[Action, Action]] = {
    "slow upstream": (_slow_upstream, _heal_upstream),
    "failing fast": (_fail_fast, _heal_upstream),
    "upstream breaks off": (_break_off, _heal_upstream),
    "draining upstream": (_drain_upstream, _undrain_upstream),
    "killed daemon": (_kill_daemon, _replace_daemon),
    "silent links": (_silence_links, _heal_nothing),
    "paused daemon": (_pause_daemon, _resume_daemon),
    "store down": (_stop_store, _heal_store),
    "store slow": (_slow_store, _heal_store),
    "lost answer": (_lose_answer, _heal_store),
    "lapsed leases": (_lapse_leases, _heal_nothing),
    "compaction": (_compact_store, _heal_nothing),
    "two operators": (_race_operators, _heal_nothing),
}


async def _step_announce(row: MatrixSite, bring_about: Action) -> None:
    await bring_about(row)
    await row.site.announce(row.third, "payments", 6, "serving")
    await row.send_calls()


async def _step_join(row: MatrixSite, bring_about: Action) -> None:
    await bring_about(row)
    await row.site.add_node("payments", "az3")
    await row.send_calls()


async def _step_call(row: MatrixSite, bring_about: Action) -> None:
    await bring_about(row)
    await row.send_calls()


async def _step_answer(row: MatrixSite, bring_about: Action) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(row.send_calls, "slow")
        await trio.sleep(0.5)
        await bring_about(row)


async def _step_retry(row: MatrixSite, bring_about: Action) -> None:
    row.second.upstream.constant_fault = "close-before-answer"
    await bring_about(row)
    await row.send_calls()
    row.second.upstream.constant_fault = ""


async def _step_drain(row: MatrixSite, bring_about: Action) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(row.send_calls, "slow")
        await trio.sleep(0.2)
        row.second.upstream.state = "draining"
        await row.site.announce(row.second, "payments", 4, "draining")
        await bring_about(row)
    row.second.upstream.state = "serving"


async def _step_stop(row: MatrixSite, bring_about: Action) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(row.send_calls, "slow")
        await trio.sleep(0.2)
        row.second.daemon.stop()
        await bring_about(row)
        await row.second.daemon.wait_stopped()
    assert not row.second.upstream.cancelled, "the stop cut off requests"


async def _step_change(row: MatrixSite, bring_about: Action) -> None:
    await bring_about(row)
    await row.change_target()
    await row.send_calls()


async def _step_lease(row: MatrixSite, bring_about: Action) -> None:
    await bring_about(row)
    await trio.sleep(15.0)
    await row.send_calls()


async def _step_watch(row: MatrixSite, bring_about: Action) -> None:
    await row.change_target()
    await bring_about(row)
    row.note_revisions()
    await row.change_target()
    await row.send_calls()


STEPS: dict[str, Callable[[MatrixSite, Action], Awaitable[None]]] = {
    "announce": _step_announce,
    "join": _step_join,
    "call": _step_call,
    "answer": _step_answer,
    "retry": _step_retry,
    "drain": _step_drain,
    "stop": _step_stop,
    "configuration change": _step_change,
    "lease renewal": _step_lease,
    "store watch": _step_watch,
}


async def run_cell(step: str, faults: list[str]) -> None:
    """Run one step with some faults, heal them and check the promises."""
    async with harness.open_site() as site:
        row = MatrixSite(site)
        await row.start()

        async def bring_about(target: MatrixSite) -> None:
            for fault in faults:
                await FAULTS[fault][0](target)

        await STEPS[step](row, bring_about)
        row.note_revisions()
        await trio.sleep(HOLD_SECONDS)
        for fault in faults:
            await FAULTS[fault][1](row)
        await row.check_promises()
