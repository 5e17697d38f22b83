"""Control costs of a fleet of daemons: bytes, processor time, store calls, delays."""

import datetime
import pathlib
import re
import signal
import subprocess
import tempfile
from typing import NamedTuple

import trio

from umberdrum import classes, configuration, store
from umberdrum_bench import added, cost, processes

BASE_PORT = 30_000
N_REGIONS = 3
N_ZONES = 10
QUIET_SECONDS = 20.0
SETTLE_SECONDS = 4.0
LOSS_SECONDS = 30.0
N_SAMPLED = 20
_STAMP = re.compile(r"^time=(\S+)Z ")


class FleetOptions(NamedTuple):
    """Size of the fleet and the number of trials of each kind."""

    n_daemons: int
    n_changes: int
    n_leaves: int
    n_deaths: int
    n_lost_at_once: int
    settle_seconds: float
    base_port: int
    with_store_down: bool


class FleetResult(NamedTuple):
    """What was measured; rates are for one daemon, delays are maxima in seconds."""

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
    worst_bytes_per_second: float


class Fleet:
    """Daemons without upstreams over zones and regions, as plain processes."""

    def __init__(self, options: FleetOptions, directory: pathlib.Path) -> None:
        self._options = options
        self.cluster = processes.Cluster(
            processes.ClusterOptions(options.base_port, directory, has_upstreams=False)
        )

    async def measure(self) -> FleetResult:
        """Start the fleet, measure it and end it."""
        options = self._options
        try:
            self.cluster.start([_plan(index) for index in range(options.n_daemons)])
            await added.create_class(self.cluster, "lookups", "cards", "/")
            await self._wait_until_joined()
            await trio.sleep(options.settle_seconds)
            quiet = await self._measure_quiet()
            change_seconds = await self._measure_changes()
            if options.with_store_down:
                await self.cluster.switch_store_faults(down=True)
            leave_seconds = await self._measure_exits(options.n_leaves, signal.SIGTERM)
            death_seconds = await self._measure_exits(options.n_deaths, signal.SIGKILL)
            before = await self._sum_bytes()
            began_at = trio.current_time()
            loss_seconds = await self._measure_loss(options.n_lost_at_once)
            seconds = max(1.0, trio.current_time() - began_at)
            worst = (await self._sum_bytes() - before) / seconds
            return quiet._replace(
                change_seconds=change_seconds,
                leave_seconds=leave_seconds,
                death_seconds=death_seconds,
                loss_seconds=loss_seconds,
                worst_bytes_per_second=worst,
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

    async def _measure_quiet(self) -> FleetResult:
        sampled = self.cluster.endpoints[:N_SAMPLED]
        pids = [row.daemon_process.pid for row in sampled]
        n_store_before = await self._count_store_calls()
        n_bytes_before = await self._sum_bytes()
        cpu_before = sum(cost.read_process(pid).cpu_seconds for pid in pids)
        await trio.sleep(QUIET_SECONDS)
        uses = [cost.read_process(pid) for pid in pids]
        cpu_seconds = sum(use.cpu_seconds for use in uses) - cpu_before
        n_bytes = await self._sum_bytes() - n_bytes_before
        n_store_calls = await self._count_store_calls() - n_store_before
        counts = await self._get_store_counts()
        return FleetResult(
            self._options.n_daemons,
            n_bytes / QUIET_SECONDS,
            100.0 * cpu_seconds / QUIET_SECONDS / len(sampled),
            max(use.memory_mb for use in uses),
            n_store_calls / QUIET_SECONDS,
            counts.get("open_watches", 0),
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
        )

    async def _sum_bytes(self) -> float:
        """Return the control bytes of the sampled daemons, on average."""
        total = 0
        n_answers = 0
        for endpoint in self.cluster.endpoints[:N_SAMPLED]:
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
        """Change a class again and again; return the longest time to all daemons."""
        etcd = store.EtcdStore((self.cluster.store,), store.StoreCallCounter())
        repository = configuration.ClassRepository(etcd, "umberdrum")
        accepted: dict[int, float] = {}
        for index in range(self._options.n_changes):
            found = (await repository.get_class("lookups")).ok
            if found is None:
                raise RuntimeError("expected the class, found none")
            changed = found.request_class._replace(
                target=classes.Target(500 + index, 99.0), change_id=f"c{index}"
            )
            written = await repository.write_class(changed, found.revision)
            accepted[written.ok.revision] = _now()
            await trio.sleep(SETTLE_SECONDS)
        etcd.close()
        longest = 0.0
        for revision, at in accepted.items():
            times = self._find_times(f"event=class_changed .*revision={revision} ")
            if len(times) < self._options.n_daemons:
                return float("inf")
            longest = max(longest, max(times) - at)
        return longest

    async def _measure_exits(self, n_trials: int, number: signal.Signals) -> float:
        """End daemons one by one; return the longest time until all others know."""
        longest = 0.0
        for _ in range(n_trials):
            running = [
                row
                for row in self.cluster.endpoints
                if row.daemon_process.poll() is None
            ]
            victim = running[-1]
            at = _now()
            victim.daemon_process.send_signal(number)
            await trio.sleep(SETTLE_SECONDS + 4.0)
            field = "final=yes" if number == signal.SIGTERM else "suspected=yes"
            pattern = f"event=endpoint_changed .*endpoint={victim.peer} .*{field}"
            times = self._find_times(pattern)
            if len(times) < len(running) - 1:
                return float("inf")
            longest = max(longest, max(times) - at)
        return longest

    async def _measure_loss(self, n_lost: int) -> float:
        """Kill many daemons at once; return the time until all others know all."""
        running = [
            row for row in self.cluster.endpoints if row.daemon_process.poll() is None
        ]
        victims = running[len(running) - n_lost :]
        at = _now()
        for victim in victims:
            victim.daemon_process.kill()
        await trio.sleep(LOSS_SECONDS)
        longest = 0.0
        for victim in victims:
            times = self._find_times(
                f"event=endpoint_changed .*endpoint={victim.peer} .*suspected=yes"
            )
            if len(times) < len(running) - n_lost:
                return float("inf")
            longest = max(longest, max(times) - at)
        return longest

    def _find_times(self, pattern: str) -> list[float]:
        """Return when each daemon logged the first line that matches."""
        done = subprocess.run(
            [
                *("grep", "-h", "-m", "1", "-E", pattern),
                *(str(row.log_path) for row in self.cluster.endpoints),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        times: list[float] = []
        for line in done.stdout.splitlines():
            stamp = _STAMP.match(line)
            if stamp is not None:
                moment = datetime.datetime.fromisoformat(stamp[1] + "+00:00")
                times.append(moment.timestamp())
        return times


def _now() -> float:
    return datetime.datetime.now(datetime.UTC).timestamp()


def _plan(index: int) -> processes.EndpointPlan:
    zone = index % N_ZONES
    return processes.EndpointPlan("cards", f"az{zone}", f"r{zone % N_REGIONS}", 4)


async def measure_fleet(options: FleetOptions) -> FleetResult:
    """Measure one fleet."""
    with tempfile.TemporaryDirectory() as directory:
        return await Fleet(options, pathlib.Path(directory)).measure()
