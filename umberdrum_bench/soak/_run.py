"""Runs a soak and checks its result."""

import pathlib
import signal
import sys
from typing import NamedTuple

import trio

from umberdrum_bench import checker, processes
from umberdrum_bench.soak import (
    _checker,
    _environment,
    _injector,
    _load,
    _monitor,
    _plan,
)

# Requirement: all daemons are ready and up to date this soon after the last fault.
MAX_RECOVERY_SECONDS = 15.0
RECOVERY_LOAD_SECONDS = 2.0
MIN_ANSWERED_SHARE = 0.9
# Calls with less are mostly refused by daemons that are well.
MIN_RECOVERED_DEADLINE_SECONDS = 1.0
REGRESSIONS_PATH = pathlib.Path(__file__).with_name("regressions.txt")
ERROR_LOG_PATTERNS = (
    "Traceback (most recent call last)",
    "event=connection_failed",
    "event=task_failed",
)


class Regression(NamedTuple):
    """Seed of a past failure and the cause of the failure."""

    seed: int
    cause: str


class SoakResult(NamedTuple):
    """Result of one seed.

    ``n_judged`` is the number of pairs of a change and a daemon that had to have it in
    time, ``recovery_seconds`` the time from the last fault until all daemons recovered.
    """

    seed: int
    n_faults: int
    n_judged: int
    recovery_seconds: float
    findings: _checker.SoakFindings
    is_interrupted: bool


async def run_seed(options: _plan.SoakOptions) -> SoakResult:
    """Run the soak of one seed and return its result."""
    environment = _environment.SoakEnvironment(options)
    load = _load.SoakLoad(environment)
    plan = _plan.draw_plan(options)
    recovery_seconds = MAX_RECOVERY_SECONDS
    try:
        environment.start()
        async with trio.open_nursery() as nursery:
            for proxy in (*environment.peer_links, *environment.store_links):
                await nursery.start(proxy.run)
            await environment.documents.create()
            n_classes = environment.documents.n_classes
            await environment.cluster.wait_until_ready(n_classes)
            await _wait_until_ready(environment)
            nursery.start_soon(_stop_on_signal, environment, nursery.cancel_scope)
            nursery.start_soon(_monitor.DaemonMonitor(environment).run)
            nursery.start_soon(load.measure_timer_lag)
            async with trio.open_nursery() as load_nursery:
                load_nursery.start_soon(load.send, options.seconds)
                load_nursery.start_soon(_injector.FaultInjector(environment).run, plan)
            recovery_seconds = await _wait_for_recovery(environment)
            n_calls_before = len(load.calls)
            await load.send(RECOVERY_LOAD_SECONDS)
            _check_recovery(environment, load.calls[n_calls_before:])
            nursery.cancel_scope.cancel()
    finally:
        load.close()
        environment.cluster.stop()
    _check_logs(environment)
    paths = [row.record_path for row in environment.cluster.endpoints]
    findings = _checker.check_calls(
        load.calls, checker.read_execution_counts(paths), environment.outages
    )
    violations = (*environment.violations, *findings.violations)
    return SoakResult(
        options.seed,
        len(plan),
        environment.spread.n_judged,
        recovery_seconds,
        findings._replace(violations=violations),
        environment.is_interrupted,
    )


async def _wait_until_ready(environment: _environment.SoakEnvironment) -> None:
    """Return once every daemon has the first documents in force."""
    with trio.fail_after(processes.READY_TIMEOUT_SECONDS):
        while await _describe_missing(environment):
            await trio.sleep(processes.POLL_INTERVAL_SECONDS)


async def _stop_on_signal(
    environment: _environment.SoakEnvironment, scope: trio.CancelScope
) -> None:
    """Cancel the soak on SIGTERM, so that its child processes are stopped too."""
    with trio.open_signal_receiver(signal.SIGTERM) as received:
        async for _ in received:
            environment.violations.append("interrupted: the soak got SIGTERM")
            environment.is_interrupted = True
            scope.cancel()


async def _wait_for_recovery(environment: _environment.SoakEnvironment) -> float:
    """Return the seconds until every daemon is ready and up to date.

    Records a violation after ``MAX_RECOVERY_SECONDS``.
    """
    began_at = trio.current_time()
    missing = ""
    while trio.current_time() - began_at < MAX_RECOVERY_SECONDS:
        missing = await _describe_missing(environment)
        if not missing:
            break
        await trio.sleep(processes.POLL_INTERVAL_SECONDS)
    if missing:
        environment.violations.append(
            f"recovery: after {MAX_RECOVERY_SECONDS:g} s {missing}"
        )
    return trio.current_time() - began_at


async def _describe_missing(environment: _environment.SoakEnvironment) -> str:
    """Return why a daemon has not recovered yet, empty if all have."""
    n_endpoints = len(environment.cluster.endpoints)
    for endpoint in environment.cluster.endpoints:
        name = f"daemon {endpoint.position}"
        status = await _environment.read_status(endpoint)
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
        state = await _monitor.read_state(environment, endpoint.position)
        if state is None:
            return f"{name} does not answer"
        lacking = environment.spread.describe_missing(state)
        if lacking:
            return f"{name} {lacking}"
    return ""


def _check_recovery(
    environment: _environment.SoakEnvironment, calls: list[_checker.SoakCall]
) -> None:
    connected = [
        call
        for call in calls
        if not call.has_disconnected
        and not call.is_pipelined
        and call.deadline_seconds >= MIN_RECOVERED_DEADLINE_SECONDS
    ]
    n_answered = sum(1 for call in connected if call.record.answer.status == 200)
    if n_answered < MIN_ANSWERED_SHARE * len(connected):
        environment.violations.append(
            f"recovery: {n_answered} of {len(connected)} calls were answered afterwards"
        )


def _check_logs(environment: _environment.SoakEnvironment) -> None:
    for endpoint in environment.cluster.endpoints:
        text = endpoint.log_path.read_text(errors="replace")
        for pattern in ERROR_LOG_PATTERNS:
            if pattern in text:
                environment.violations.append(
                    f"log: daemon {endpoint.position} wrote {pattern!r}"
                )


def choose_directory(parent: pathlib.Path, seed: int) -> pathlib.Path:
    """Return a folder for a seed that no earlier soak has used.

    Records of an earlier soak would count as executions, since the same seed sends
    requests of the same names.

    Example: ``choose_directory(path, 7)`` gives ``path / "seed-7"``, and
    ``path / "seed-7-2"`` if there is one of that name already.
    """
    directory = parent / f"seed-{seed}"
    number = 1
    while directory.exists():
        number += 1
        directory = parent / f"seed-{seed}-{number}"
    return directory


def read_regressions(path: pathlib.Path = REGRESSIONS_PATH) -> list[Regression]:
    """Return the seeds of past failures; each line has a seed and its cause."""
    found: list[Regression] = []
    for line in path.read_text().splitlines():
        if not line or line.startswith("#"):
            continue
        seed, _, cause = line.partition(" ")
        found.append(Regression(int(seed), cause))
    return found


def print_result(result: SoakResult) -> None:
    """Print the result in one line, followed by one line per violation."""
    found = result.findings
    sys.stdout.write(
        f"soak seed={result.seed} faults={result.n_faults} judged={result.n_judged} "
        f"calls={found.n_calls} "
        f"answered={found.n_answered} refused={found.n_refused} "
        f"unknown={found.n_unknown} starved={found.n_starved} "
        f"recovery_s={result.recovery_seconds:.1f} "
        f"broken={len(found.violations)}\n"
    )
    for line in found.violations:
        sys.stdout.write(f"broken seed={result.seed} {line}\n")
    sys.stdout.flush()
