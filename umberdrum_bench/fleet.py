"""Measures the control plane of a fleet: traffic, CPU time, store calls and delays."""

import datetime
import pathlib
import re
import signal
import subprocess
import tempfile
from typing import NamedTuple

import trio

from umberdrum import classes, configuration, store
from umberdrum_bench import added_latency, cost, processes

BASE_PORT = 30_000
N_REGIONS = 3
N_ZONES = 10
IDLE_WINDOW_SECONDS = 20.0
PROPAGATION_WAIT_SECONDS = 4.0
LOSS_WAIT_SECONDS = 30.0
N_SAMPLED_DAEMONS = 20
_TIMESTAMP = re.compile(r"^time=(\S+)Z ")


class FleetOptions(NamedTuple):
    """Size of the fleet, the number of trials of each kind, and the warm-up time."""

    n_daemons: int
    n_changes: int
    n_leaves: int
    n_deaths: int
    n_lost_at_once: int
    warm_up_seconds: float
    base_port: int
    with_store_down: bool


class FleetResult(NamedTuple):
    """Measured values of one fleet; delays are maxima in seconds.

    Bytes per second and CPU time are averages over the sampled daemons, memory is their
    maximum. Store calls and watches are totals of the fleet. ``loss_bytes_per_second``
    is the control traffic of a daemon while many daemons are lost at once.
    """

    n_daemons: int
    control_bytes_per_second: float
    cpu_percent: float
    memory_mb: float
    store_calls_per_second: float
    n_store_watches: int
    change_seconds: float
    leave_seconds: float
    death_seconds: float
    loss_seconds: float
    loss_bytes_per_second: float


class FleetMeasurement:
    """Runs daemons without upstreams, spread over zones and regions, as processes."""

    def __init__(self, options: FleetOptions, directory: pathlib.Path) -> None:
        self._options = options
        self.cluster = processes.Cluster(
            processes.ClusterOptions(options.base_port, directory, has_upstreams=False)
        )

    async def measure(self) -> FleetResult:
        """Start the fleet, measure it and stop it."""
        options = self._options
        try:
            self.cluster.start(
                [_build_plan(index) for index in range(options.n_daemons)]
            )
            await added_latency.create_class(self.cluster, "lookups", "cards", "/")
            await self._wait_until_joined()
            await trio.sleep(options.warm_up_seconds)
            idle = await self._measure_idle()
            change_seconds = await self._measure_changes()
            if options.with_store_down:
                await self.cluster.switch_store_faults(down=True)
            leave_seconds = await self._measure_exits(options.n_leaves, signal.SIGTERM)
            death_seconds = await self._measure_exits(options.n_deaths, signal.SIGKILL)
            before = await self._get_mean_control_bytes()
            began_at = trio.current_time()
            loss_seconds = await self._measure_loss(options.n_lost_at_once)
            seconds = max(1.0, trio.current_time() - began_at)
            bytes_per_second = (await self._get_mean_control_bytes() - before) / seconds
            return idle._replace(
                change_seconds=change_seconds,
                leave_seconds=leave_seconds,
                death_seconds=death_seconds,
                loss_seconds=loss_seconds,
                loss_bytes_per_second=bytes_per_second,
            )
        finally:
            self.cluster.stop()

    async def _wait_until_joined(self) -> None:
        with trio.fail_after(120.0):
            for endpoint in self.cluster.endpoints:
                while not await self._has_joined(endpoint):
                    await trio.sleep(0.3)

    async def _has_joined(self, endpoint: processes.RunningEndpoint) -> bool:
        client = processes.build_client(endpoint.admin)
        answer = await client.request("GET", "/v1/status", {}, is_write=False)
        client.close()
        if answer.is_error():
            return False
        n_known = len(answer.ok["endpoints"])
        return n_known >= self._options.n_daemons and bool(answer.ok["classes"])

    async def _measure_idle(self) -> FleetResult:
        sampled = self.cluster.endpoints[:N_SAMPLED_DAEMONS]
        pids = [row.daemon_process.pid for row in sampled]
        n_store_before = await self._count_store_calls()
        n_bytes_before = await self._get_mean_control_bytes()
        cpu_before = sum(cost.read_process_usage(pid).cpu_seconds for pid in pids)
        await trio.sleep(IDLE_WINDOW_SECONDS)
        usages = [cost.read_process_usage(pid) for pid in pids]
        cpu_seconds = sum(usage.cpu_seconds for usage in usages) - cpu_before
        n_bytes = await self._get_mean_control_bytes() - n_bytes_before
        n_store_calls = await self._count_store_calls() - n_store_before
        counts = await self._get_store_counts()
        return FleetResult(
            self._options.n_daemons,
            n_bytes / IDLE_WINDOW_SECONDS,
            100.0 * cpu_seconds / IDLE_WINDOW_SECONDS / len(sampled),
            max(usage.memory_mb for usage in usages),
            n_store_calls / IDLE_WINDOW_SECONDS,
            counts.get("open_watches", 0),
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
        )

    async def _get_mean_control_bytes(self) -> float:
        """Return the mean number of control bytes per running sampled daemon."""
        total = 0
        n_answers = 0
        for endpoint in self.cluster.endpoints[:N_SAMPLED_DAEMONS]:
            if endpoint.daemon_process.poll() is not None:
                continue
            client = processes.build_client(endpoint.admin)
            answer = await client.request("GET", "/v1/status", {}, is_write=False)
            client.close()
            if answer.is_ok():
                total += int(answer.ok["n_control_bytes"])
                n_answers += 1
        return total / max(1, n_answers)

    async def _get_store_counts(self) -> dict[str, int]:
        client = processes.build_client(self.cluster.store)
        answer = await client.request("GET", "/standin/counts", {}, is_write=False)
        client.close()
        return {key: int(value) for key, value in answer.ok.items()}

    async def _count_store_calls(self) -> int:
        counts = await self._get_store_counts()
        return sum(value for key, value in counts.items() if key.startswith("/"))

    async def _measure_changes(self) -> float:
        """Change a class repeatedly; return the longest time until all daemons have it.

        Infinite if a change did not reach every daemon.
        """
        etcd = store.EtcdStore((self.cluster.store,), store.StoreCallCounter())
        repository = configuration.ClassRepository(etcd, "umberdrum")
        written_at: dict[int, float] = {}
        for index in range(self._options.n_changes):
            found = (await repository.get_class("lookups")).ok
            if found is None:
                raise RuntimeError("expected the class, found none")
            changed = found.request_class._replace(
                target=classes.Target(500 + index, 99.0), change_id=f"c{index}"
            )
            written = await repository.write_class(changed, found.revision)
            written_at[written.ok.revision] = _get_unix_time()
            await trio.sleep(PROPAGATION_WAIT_SECONDS)
        etcd.close()
        longest = 0.0
        for revision, sent_at in written_at.items():
            times = self._find_log_times(f"event=class_changed .*revision={revision} ")
            if len(times) < self._options.n_daemons:
                return float("inf")
            longest = max(longest, max(times) - sent_at)
        return longest

    async def _measure_exits(
        self, n_trials: int, signal_number: signal.Signals
    ) -> float:
        """End daemons one by one; return the longest time until all others detect it.

        Infinite if some daemon did not detect an exit.
        """
        longest = 0.0
        for _ in range(n_trials):
            running = [
                row
                for row in self.cluster.endpoints
                if row.daemon_process.poll() is None
            ]
            stopped = running[-1]
            sent_at = _get_unix_time()
            stopped.daemon_process.send_signal(signal_number)
            await trio.sleep(PROPAGATION_WAIT_SECONDS + 4.0)
            field = "final=yes" if signal_number == signal.SIGTERM else "suspected=yes"
            pattern = f"event=endpoint_changed .*endpoint={stopped.peer} .*{field}"
            times = self._find_log_times(pattern)
            if len(times) < len(running) - 1:
                return float("inf")
            longest = max(longest, max(times) - sent_at)
        return longest

    async def _measure_loss(self, n_lost: int) -> float:
        """Kill many daemons at once; return the time until the others suspect them all.

        Infinite if some daemon did not detect every loss.
        """
        running = [
            row for row in self.cluster.endpoints if row.daemon_process.poll() is None
        ]
        killed = running[len(running) - n_lost :]
        sent_at = _get_unix_time()
        for stopped in killed:
            stopped.daemon_process.kill()
        await trio.sleep(LOSS_WAIT_SECONDS)
        longest = 0.0
        for stopped in killed:
            times = self._find_log_times(
                f"event=endpoint_changed .*endpoint={stopped.peer} .*suspected=yes"
            )
            if len(times) < len(running) - n_lost:
                return float("inf")
            longest = max(longest, max(times) - sent_at)
        return longest

    def _find_log_times(self, pattern: str) -> list[float]:
        """Return the Unix time of the first matching line in the log of each daemon."""
        completed = subprocess.run(
            [
                *("grep", "-h", "-m", "1", "-E", pattern),
                *(str(row.log_path) for row in self.cluster.endpoints),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        times: list[float] = []
        for line in completed.stdout.splitlines():
            timestamp_match = _TIMESTAMP.match(line)
            if timestamp_match is not None:
                moment = datetime.datetime.fromisoformat(timestamp_match[1] + "+00:00")
                times.append(moment.timestamp())
        return times


def _get_unix_time() -> float:
    return datetime.datetime.now(datetime.UTC).timestamp()


def _build_plan(index: int) -> processes.EndpointPlan:
    zone = index % N_ZONES
    return processes.EndpointPlan("cards", f"az{zone}", f"r{zone % N_REGIONS}", 4)


async def measure_fleet(options: FleetOptions) -> FleetResult:
    """Measure one fleet with temporary files."""
    with tempfile.TemporaryDirectory() as directory:
        return await FleetMeasurement(options, pathlib.Path(directory)).measure()
