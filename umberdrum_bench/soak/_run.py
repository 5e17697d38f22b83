"""One soak from start to verdict."""

import pathlib
import signal
import sys
from typing import NamedTuple

import trio

from umberdrum_bench import processes, verdict
from umberdrum_bench.soak import _injector, _judgement, _load, _plan, _site

# The users' bound for serving again after the last fault.
RECOVER_SECONDS = 15.0
AFTER_SECONDS = 2.0
MIN_ANSWERED_AFTER = 0.9
WATCH_PERIOD_SECONDS = 0.5
REGRESSIONS_PATH = pathlib.Path(__file__).with_name("regressions.txt")
FAULT_MARKS = ("Traceback (most recent call last)", "event=connection_failed")


class Regression(NamedTuple):
    """Seed that once failed, and why."""

    seed: int
    cause: str


class SoakResult(NamedTuple):
    """Verdict on one seed; ``recovery_seconds`` is the time after the last fault."""

    seed: int
    n_faults: int
    recovery_seconds: float
    findings: _judgement.SoakFindings
    is_interrupted: bool


class _Watcher:
    """Looks at the daemons while they run: versions and exits."""

    def __init__(self, site: _site.SoakSite) -> None:
        self._site = site
        self._seen: dict[int, int] = {}

    async def run(self) -> None:
        """Look at every daemon again and again, for ever."""
        while True:
            for endpoint in self._site.cluster.endpoints:
                await self._look(endpoint)
            await trio.sleep(WATCH_PERIOD_SECONDS)

    async def _look(self, endpoint: processes.RunningEndpoint) -> None:
        code = self._site.find_unexpected_exit(endpoint.position)
        if code is not None:
            self._site.broken.append(
                f"exit: daemon {endpoint.position} ended by itself with code {code}"
            )
            return
        status = await _site.read_status(endpoint)
        if status is None:
            return
        pid = endpoint.daemon_process.pid
        revision = int(str(status["catalog_revision"]))
        if revision < self._seen.get(pid, 0):
            self._site.broken.append(
                f"regress: daemon {endpoint.position} went from revision "
                f"{self._seen[pid]} back to {revision}"
            )
        self._seen[pid] = max(revision, self._seen.get(pid, 0))


async def run_seed(options: _plan.SoakOptions) -> SoakResult:
    """Run the soak of one seed and return its verdict."""
    site = _site.SoakSite(options)
    load = _load.SoakLoad(site)
    plan = _plan.draw_plan(options)
    recovery_seconds = RECOVER_SECONDS
    try:
        site.start()
        async with trio.open_nursery() as nursery:
            for standin in (*site.peer_links, *site.store_links):
                await nursery.start(standin.run)
            await site.create_classes()
            await site.cluster.wait_until_ready(len(_site.CLASS_PLANS))
            nursery.start_soon(_stop_on_signal, site, nursery.cancel_scope)
            nursery.start_soon(_Watcher(site).run)
            nursery.start_soon(load.watch_lag)
            async with trio.open_nursery() as acts:
                acts.start_soon(load.send, options.seconds)
                acts.start_soon(_injector.FaultInjector(site).run, plan)
            recovery_seconds = await _wait_for_recovery(site)
            n_before = len(load.calls)
            await load.send(AFTER_SECONDS)
            _judge_recovery(site, load.calls[n_before:])
            nursery.cancel_scope.cancel()
    finally:
        load.close()
        site.cluster.stop()
    _judge_logs(site)
    paths = [row.record_path for row in site.cluster.endpoints]
    findings = _judgement.judge(
        load.calls, verdict.read_records(paths), site.disturbances
    )
    broken = (*site.broken, *findings.broken)
    return SoakResult(
        options.seed,
        len(plan),
        recovery_seconds,
        findings._replace(broken=broken),
        site.is_interrupted,
    )


async def _stop_on_signal(site: _site.SoakSite, scope: trio.CancelScope) -> None:
    """End the soak on SIGTERM, so that its processes end with it."""
    with trio.open_signal_receiver(signal.SIGTERM) as received:
        async for _ in received:
            site.broken.append("interrupted: the soak got SIGTERM")
            site.is_interrupted = True
            scope.cancel()


async def _wait_for_recovery(site: _site.SoakSite) -> float:
    """Return how long it took until every daemon knows everything again."""
    began_at = trio.current_time()
    missing = ""
    while trio.current_time() - began_at < RECOVER_SECONDS:
        missing = await _find_missing(site)
        if not missing:
            break
        await trio.sleep(processes.POLL_SECONDS)
    if missing:
        site.broken.append(f"recovery: after {RECOVER_SECONDS:g} s {missing}")
    return trio.current_time() - began_at


async def _find_missing(site: _site.SoakSite) -> str:
    """Return what some daemon still lacks, nothing if all is well."""
    n_endpoints = len(site.cluster.endpoints)
    for endpoint in site.cluster.endpoints:
        name = f"daemon {endpoint.position}"
        status = await _site.read_status(endpoint)
        if status is None:
            return f"{name} does not answer"
        if not status["ready"]:
            return f"{name} is not ready"
        rows = status["endpoints"]
        if not isinstance(rows, list):
            return f"{name} lists no endpoints"
        n_serving = sum(
            1 for row in rows if row["state"] == "serving" and not row["is_suspected"]
        )
        if n_serving != n_endpoints:
            return f"{name} knows {n_serving} of {n_endpoints} endpoints as serving"
        revision = int(str(status["catalog_revision"]))
        if revision < site.accepted_revision:
            return f"{name} is at revision {revision}, not {site.accepted_revision}"
    return ""


def _judge_recovery(site: _site.SoakSite, calls: list[_judgement.SoakCall]) -> None:
    staying = [call for call in calls if not call.has_left]
    n_answered = sum(1 for call in staying if call.record.answer.status == 200)
    if n_answered < MIN_ANSWERED_AFTER * len(staying):
        site.broken.append(
            f"recovery: {n_answered} of {len(staying)} calls were answered afterwards"
        )


def _judge_logs(site: _site.SoakSite) -> None:
    for endpoint in site.cluster.endpoints:
        text = endpoint.log_path.read_text(errors="replace")
        for mark in FAULT_MARKS:
            if mark in text:
                site.broken.append(f"log: daemon {endpoint.position} wrote {mark!r}")


def read_regressions(path: pathlib.Path = REGRESSIONS_PATH) -> list[Regression]:
    """Return the seeds that once failed: lines of a seed and its cause."""
    found: list[Regression] = []
    for line in path.read_text().splitlines():
        if not line or line.startswith("#"):
            continue
        seed, _, cause = line.partition(" ")
        found.append(Regression(int(seed), cause))
    return found


def print_result(result: SoakResult) -> None:
    """Print the verdict as one line, each broken promise as a further one."""
    found = result.findings
    sys.stdout.write(
        f"soak seed={result.seed} faults={result.n_faults} calls={found.n_calls} "
        f"answered={found.n_answered} refused={found.n_refused} "
        f"unknown={found.n_unknown} recovery_s={result.recovery_seconds:.1f} "
        f"broken={len(found.broken)}\n"
    )
    for line in found.broken:
        sys.stdout.write(f"broken seed={result.seed} {line}\n")
    sys.stdout.flush()
