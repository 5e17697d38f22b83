"""Demo: load balancing on real processes under faults, with a check of every call.

It starts a store stand-in and eleven endpoints in three availability zones, creates
classes with the command line tool and sends calls for about 20 s. Meanwhile it drains
an upstream, stops a daemon with SIGTERM, kills a daemon with its upstream, drops all
traffic on the open connections to a daemon and takes the store down. At the end it
compares what callers received with the requests that upstreams recorded.
"""

import argparse
import collections
import hashlib
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

import trio

from umberdrum_bench import caller, checker, latency, processes

BASE_PORT = 21_000
LOAD_SECONDS = 20.0
CALL_TIMEOUT_SECONDS = 20.0
COMPLETION_WAIT_SECONDS = 3.0
N_UNLOADED_CALLS = 400
REGION = "estonia"
ZONES = ("tallinn", "tartu", "parnu")


class ClassPlan(NamedTuple):
    """Class to create, the rate of its calls, and the method and size of a request."""

    name: str
    service: str
    path: str
    method: str
    is_idempotent: bool
    target_ms: int
    calls_per_second: float
    n_body_bytes: int


CLASS_PLANS = (
    ClassPlan("card-lookups", "cards", "/cards", "GET", True, 100, 40.0, 0),
    ClassPlan("internal-checks", "cards", "/checks", "GET", True, 50, 25.0, 0),
    ClassPlan("renewals", "payments", "/payments", "POST", False, 500, 15.0, 300),
    ClassPlan("photo-uploads", "photos", "/photos", "POST", False, 2000, 4.0, 300_000),
    ClassPlan("unloaded", "cards", "/ping", "GET", True, 100, 0.0, 0),
)


class ScheduledFault(NamedTuple):
    """Fault and its time in seconds after the start of the load."""

    at_seconds: float
    description: str


def build_endpoint_plans() -> list[processes.EndpointPlan]:
    """Return the endpoints of the Estonian deployment, one behind a link proxy."""
    plans: list[processes.EndpointPlan] = []
    for service, n_endpoints in (("cards", 4), ("payments", 3), ("photos", 4)):
        for index in range(n_endpoints):
            zone = ZONES[index % len(ZONES)]
            has_link = service == "payments" and index == 1
            plans.append(processes.EndpointPlan(service, zone, REGION, 6, has_link))
    return plans


class Demo:
    """One run of the demo."""

    def __init__(self, directory: pathlib.Path, seed: int) -> None:
        self._directory = directory
        self._rng = random.Random(seed)
        options = processes.ClusterOptions(BASE_PORT, directory, seed=seed)
        self._cluster = processes.Cluster(options)
        self._pool = caller.CallerPool()
        self._calls: list[checker.CallRecord] = []
        self._killed: set[int] = set()
        self._drained: set[int] = set()
        self._n_calls = 0
        self._direct = latency.Recorder()
        self._via_daemon = latency.Recorder()

    async def run(self) -> checker.CheckResult:
        """Run the demo and return the result of the checks."""
        try:
            self._cluster.start(build_endpoint_plans())
            self._create_classes()
            await self._cluster.wait_until_ready(len(CLASS_PLANS))
            print("endpoints ready:", len(self._cluster.endpoints), flush=True)
            await self._measure_unloaded()
            await self._send_load()
            await trio.sleep(COMPLETION_WAIT_SECONDS)
        finally:
            self._pool.close()
            self._cluster.stop()
        return self._check_calls()

    def _create_classes(self) -> None:
        for plan in CLASS_PLANS:
            kind = "--idempotent" if plan.is_idempotent else "--not-idempotent"
            self._run_tool(
                "class",
                "create",
                plan.name,
                *("--service", plan.service, "--path", plan.path),
                *("--method", plan.method, kind),
                *("--target-ms", str(plan.target_ms), "--percentile", "99"),
            )

    def _run_tool(self, *arguments: str) -> int:
        """Run the command line tool, print its output and return its exit code.

        Repeats the command, 20 runs at most, while it exits with code 5 and its error
        output does not contain ``refused``.
        """
        command = [
            *(sys.executable, "-m", "umberdrum.commandline.main"),
            *("--store", str(self._cluster.store)),
            *arguments,
        ]
        for _ in range(20):
            completed = subprocess.run(command, capture_output=True, check=False)
            if completed.returncode != 5 or b"refused" in completed.stderr:
                break
        output = (completed.stdout + completed.stderr).decode().strip()
        print(f"$ umberdrum {' '.join(arguments)}\n{output}", flush=True)
        return completed.returncode

    async def _measure_unloaded(self) -> None:
        """Send the same calls directly and through a daemon in turn, one at a time."""
        plan = CLASS_PLANS[-1]
        cards = [row for row in self._cluster.endpoints if row.plan.service == "cards"]
        for _ in range(N_UNLOADED_CALLS):
            endpoint = self._rng.choice(cards)
            request = self._build_request(plan)
            direct = await self._pool.call(endpoint.upstream, request, 5.0)
            self._direct.record(direct.seconds)
            request = self._build_request(plan)
            via_daemon = await self._pool.call(endpoint.caller, request, 5.0)
            if via_daemon.status == 200:
                self._via_daemon.record(via_daemon.seconds)

    async def _send_load(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_faults)
            async with trio.open_nursery() as senders:
                for plan in CLASS_PLANS:
                    if plan.calls_per_second:
                        senders.start_soon(self._send_class, plan, nursery)

    async def _send_class(self, plan: ClassPlan, nursery: trio.Nursery) -> None:
        """Send the calls of one class as an open-loop Poisson process."""
        end_at = trio.current_time() + LOAD_SECONDS
        next_at = trio.current_time()
        while next_at < end_at:
            await trio.sleep_until(next_at)
            nursery.start_soon(self._send_call, plan)
            next_at += self._rng.expovariate(plan.calls_per_second)

    async def _send_call(self, plan: ClassPlan) -> None:
        request = self._build_request(plan)
        candidates = [
            row
            for row in self._cluster.endpoints
            if row.position not in self._killed and row.position not in self._drained
        ]
        entry = self._rng.choice(candidates)
        answer = await self._pool.call(entry.caller, request, CALL_TIMEOUT_SECONDS)
        self._calls.append(
            checker.CallRecord(
                plan.name,
                request.nonce,
                plan.is_idempotent,
                hashlib.sha256(request.body).hexdigest(),
                answer,
                entry.position in self._killed,
            )
        )

    def _build_request(self, plan: ClassPlan) -> caller.CallerRequest:
        self._n_calls += 1
        nonce = f"{plan.name}-{self._n_calls}"
        body = self._rng.randbytes(plan.n_body_bytes)
        return caller.CallerRequest(
            plan.service,
            plan.method,
            f"{plan.path}/{self._n_calls}",
            f"demo-{self._rng.getrandbits(64):016x}",
            nonce,
            body,
        )

    async def _run_faults(self) -> None:
        """Inject the faults in sequence."""
        began_at = trio.current_time()
        cards = self._list_endpoints("cards")
        payments = self._list_endpoints("payments")
        photos = self._list_endpoints("photos")
        await trio.sleep_until(began_at + 3.0)
        self._print_fault("drain: a cards upstream announces that it is draining")
        _send_signal(cards[0].upstream_process, signal.SIGUSR1)
        self._drained.add(cards[0].position)
        await trio.sleep_until(began_at + 5.0)
        self._print_fault("drain: a photos daemon is stopped by SIGTERM")
        self._drained.add(photos[0].position)
        _send_signal(photos[0].daemon_process, signal.SIGTERM)
        await trio.sleep_until(began_at + 8.0)
        self._print_fault("kill: a payments daemon and its upstream")
        self._killed.add(payments[0].position)
        _send_signal(payments[0].daemon_process, signal.SIGKILL)
        _send_signal(payments[0].upstream_process, signal.SIGKILL)
        await trio.sleep_until(began_at + 11.0)
        self._print_fault(
            "silence: traffic on open connections to a payments daemon is dropped"
        )
        _send_signal(payments[1].link_process, signal.SIGUSR1)
        await trio.sleep_until(began_at + 13.0)
        self._print_fault("outage: the store stops answering")
        await self._cluster.switch_store_faults(down=True)
        code = await trio.to_thread.run_sync(self._change_target)
        print(f"exit code {code}: the change was not made and the tool reports it")
        await trio.sleep_until(began_at + 17.0)
        self._print_fault("the store answers again")
        await self._cluster.switch_store_faults(down=False)
        await trio.to_thread.run_sync(self._change_target)
        await trio.sleep_until(began_at + 19.5)
        admin = ",".join(
            str(row.admin)
            for row in self._cluster.endpoints
            if row.position not in self._killed and row.position != photos[0].position
        )
        await trio.to_thread.run_sync(self._run_tool, "--admin", admin, "status")

    def _change_target(self) -> int:
        return self._run_tool("class", "set", "card-lookups", "--target-ms", "90")

    def _print_fault(self, text: str) -> None:
        print(f"-- {text}", flush=True)

    def _list_endpoints(self, service: str) -> list[processes.RunningEndpoint]:
        return [row for row in self._cluster.endpoints if row.plan.service == service]

    def _check_calls(self) -> checker.CheckResult:
        runs = checker.read_execution_counts(
            [row.record_path for row in self._cluster.endpoints]
        )
        drained_runs = checker.read_execution_counts(
            [
                row.record_path
                for row in self._cluster.endpoints
                if row.position in self._drained
            ]
        )
        return checker.check_calls(self._calls, runs, drained_runs)

    def print_table(self) -> None:
        """Print the latencies and the outcomes of the calls of each class."""
        by_class: dict[str, collections.Counter[str]] = {}
        latencies: dict[str, latency.Recorder] = {}
        for record in self._calls:
            counter = by_class.setdefault(record.class_name, collections.Counter())
            counter[checker.describe_outcome(record)] += 1
            recorder = latencies.setdefault(record.class_name, latency.Recorder())
            recorder.record(record.answer.seconds)
        print(f"{'class':18}{'calls':>7}{'p50 ms':>9}{'p99 ms':>9}  ends")
        for name in sorted(by_class):
            ends = ", ".join(
                f"{end} {count}" for end, count in by_class[name].most_common()
            )
            summary = latencies[name].summarize()
            total = by_class[name].total()
            print(
                f"{name:18}{total:7}{summary.p50_ms:9.2f}{summary.p99_ms:9.2f}  {ends}"
            )

    def get_added_latency(self) -> tuple[float, float]:
        """Return the latency that daemons add without load: p50 and p99 in ms."""
        direct = self._direct.summarize()
        via_daemon = self._via_daemon.summarize()
        return via_daemon.p50_ms - direct.p50_ms, via_daemon.p99_ms - direct.p99_ms


def _send_signal(
    process: "subprocess.Popen[bytes] | None", number: signal.Signals
) -> None:
    if process is None:
        raise RuntimeError("expected a running process, found none")
    process.send_signal(number)


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run the demo; the exit code is 0 only if no guarantee was violated."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", default="", help="folder for logs and records")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(options.keep or temporary)
        demo = Demo(directory, options.seed)
        result = trio.run(demo.run)
    demo.print_table()
    added_p50_ms, added_p99_ms = demo.get_added_latency()
    print(
        f"demo: calls={result.n_calls} answered={result.n_answered} "
        f"refused={result.n_refused} unknown={result.n_unknown} lost={result.n_lost} "
        f"doubled={result.n_doubled} mixed={result.n_mixed} "
        f"false_not_run={result.n_false_not_run} cut_by_drain={result.n_cut_by_drain} "
        f"added_p50_ms={added_p50_ms:.2f} added_p99_ms={added_p99_ms:.2f}"
    )
    return 0 if result.has_passed else 1


if __name__ == "__main__":
    sys.exit(run_program())
