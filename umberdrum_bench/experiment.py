"""Experiments on routing policies, run on real processes under open-loop load.

An INI file describes each experiment.
"""

import configparser
import pathlib
import random
import signal
import tempfile
from typing import NamedTuple

import trio

from umberdrum_bench import added_latency, caller, latency, processes

BASE_PORT = 27_000
CALL_TIMEOUT_SECONDS = 10.0
WARM_UP_SECONDS = 3.0
EVENTS = ("none", "slow", "fail", "swing", "drain")
SLOWDOWN_FACTOR = 10
SWING_PERIOD_SECONDS = 2.0
SWING_FACTOR = 3.0


class ExperimentPlan(NamedTuple):
    """One experiment as described by its INI file.

    ``load`` is the offered load as a share of the capacity of all slots. ``event``
    strikes the first endpoint when the measurement begins. The event ``swing`` affects
    no endpoint: during one half of each period of 2 s the arrival rate is three times
    that of the other half, with an unchanged mean.
    """

    name: str
    policy: str
    event: str
    n_endpoints: int
    n_slots: int
    mean_ms: float
    load: float
    seconds: float
    target_ms: int
    measuring_bytes_per_second: int
    seed: int


class ExperimentResult(NamedTuple):
    """Outcomes and latencies that callers saw.

    Latencies count from the scheduled time of each call. ``share_within`` is the
    percentage of calls answered within the target.
    """

    name: str
    policy: str
    event: str
    n_calls: int
    n_answered: int
    n_refused: int
    n_failed: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    share_within: float
    goodput_per_second: float


def read_plan(path: pathlib.Path) -> ExperimentPlan:
    """Return the plan in the file; raises ``ValueError`` for an invalid value."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text())
    section = parser["experiment"]
    event = section.get("event", "none")
    if event not in EVENTS:
        raise ValueError(f"{path}: event: expected one of {EVENTS}, found {event!r}")
    return ExperimentPlan(
        path.stem,
        section.get("policy", "finish_time"),
        event,
        section.getint("endpoints", 4),
        section.getint("slots", 2),
        section.getfloat("mean_ms", 20.0),
        section.getfloat("load", 0.7),
        section.getfloat("seconds", 10.0),
        section.getint("target_ms", 100),
        section.getint("measuring_bytes_per_second", 1000),
        section.getint("seed", 1),
    )


async def run_experiment(
    plan: ExperimentPlan, base_port: int = BASE_PORT
) -> ExperimentResult:
    """Run one experiment on a new cluster with temporary files."""
    with tempfile.TemporaryDirectory() as directory:
        return await _ExperimentRun(plan, pathlib.Path(directory), base_port).run()


class _ExperimentRun:
    """One run of an experiment."""

    def __init__(
        self, plan: ExperimentPlan, directory: pathlib.Path, base_port: int
    ) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._cluster = processes.Cluster(
            processes.ClusterOptions(
                base_port,
                directory,
                plan.measuring_bytes_per_second,
                plan.policy,
                mean_ms=plan.mean_ms,
                seed=plan.seed,
            )
        )
        self._pool = caller.CallerPool()
        self._recorder = latency.Recorder()
        self._n_calls = 0
        self._n_answered = 0
        self._n_refused = 0
        self._n_failed = 0
        self._n_within_target = 0

    async def run(self) -> ExperimentResult:
        plan = self._plan
        try:
            self._cluster.start(
                [
                    processes.EndpointPlan("cards", f"az{i % 3}", "r1", plan.n_slots)
                    for i in range(plan.n_endpoints)
                ]
            )
            await added_latency.create_class(
                self._cluster, "lookups", "cards", "/", plan.target_ms
            )
            await self._cluster.wait_until_ready(1)
            await self._send_load(WARM_UP_SECONDS, is_measured=False)
            await self._trigger_event()
            await self._send_load(plan.seconds, is_measured=True)
        finally:
            self._pool.close()
            self._cluster.stop()
        summary = self._recorder.summarize()
        return ExperimentResult(
            plan.name,
            plan.policy,
            plan.event,
            self._n_calls,
            self._n_answered,
            self._n_refused,
            self._n_failed,
            summary.p50_ms,
            summary.p99_ms,
            summary.p999_ms,
            100.0 * self._n_within_target / max(1, self._n_calls),
            self._n_answered / plan.seconds,
        )

    async def _trigger_event(self) -> None:
        event = self._plan.event
        endpoint = self._cluster.endpoints[0]
        if event == "drain" and endpoint.upstream_process is not None:
            endpoint.upstream_process.send_signal(signal.SIGUSR1)
        faults: dict[str, dict[str, object]] = {
            "slow": {"factor": SLOWDOWN_FACTOR},
            "fail": {"fail": True},
        }
        if event in faults:
            client = processes.build_client(endpoint.upstream)
            await client.request("POST", "/standin/x", faults[event], is_write=False)
            client.close()

    async def _send_load(self, seconds: float, is_measured: bool) -> None:
        """Send calls as an open-loop Poisson process."""
        plan = self._plan
        capacity = plan.n_endpoints * plan.n_slots * 1000.0 / plan.mean_ms
        rate = plan.load * capacity
        began_at = trio.current_time()
        next_at = began_at
        async with trio.open_nursery() as nursery:
            while next_at < began_at + seconds:
                await trio.sleep_until(next_at)
                nursery.start_soon(self._call, next_at, is_measured)
                next_at += self._rng.expovariate(rate * self._get_rate_factor(next_at))

    def _get_rate_factor(self, now: float) -> float:
        """Return the arrival rate factor: high in the first half of each period."""
        if self._plan.event != "swing":
            return 1.0
        is_high = now % SWING_PERIOD_SECONDS < SWING_PERIOD_SECONDS / 2
        mean = (1.0 + SWING_FACTOR) / 2
        return (SWING_FACTOR if is_high else 1.0) / mean

    async def _call(self, scheduled_at: float, is_measured: bool) -> None:
        entry = self._rng.choice(self._cluster.endpoints)
        request_id = f"x-{self._rng.getrandbits(64):016x}"
        request = caller.CallerRequest("cards", "GET", "/x", request_id, "n")
        answer = await self._pool.call(entry.caller, request, CALL_TIMEOUT_SECONDS)
        if not is_measured:
            return
        seconds = trio.current_time() - scheduled_at
        self._n_calls += 1
        if answer.status == 200:
            self._n_answered += 1
            self._recorder.record(seconds)
            if seconds * 1000.0 <= self._plan.target_ms:
                self._n_within_target += 1
        elif answer.kind and answer.execution == "not-run":
            self._n_refused += 1
        else:
            self._n_failed += 1
