"""Measures CPU time and memory of daemons, and the throughput of closed loops."""

import os
import pathlib
import tempfile
from typing import NamedTuple

import trio

from umberdrum import settings, sockets
from umberdrum_bench import added_latency, caller, processes

BASE_PORT = 25_000
CALL_TIMEOUT_SECONDS = 10.0
N_IDLE_CONNECTIONS = 250
IDLE_SECONDS = 5.0
MS_PER_SECOND = 1000.0
BYTES_PER_MB = 1 << 20


class ProcessUsage(NamedTuple):
    """CPU time in seconds and resident memory in MB (2**20 bytes) of one process."""

    cpu_seconds: float
    memory_mb: float


class WayCost(NamedTuple):
    """CPU time in ms per call, by process, for one way of a call."""

    way: str
    n_callers: int
    calls_per_second: float
    entry_ms: float
    endpoint_ms: float
    upstream_ms: float


class MemoryUsage(NamedTuple):
    """Resident memory of one daemon in MB and its idle CPU use in percent of a core."""

    idle_mb: float
    with_connections_mb: float
    idle_cpu_percent: float


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the CPU time and memory that a process has used, read from ``/proc``."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    n_pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    memory_bytes = n_pages * os.sysconf("SC_PAGE_SIZE")
    return ProcessUsage(ticks / os.sysconf("SC_CLK_TCK"), memory_bytes / BYTES_PER_MB)


async def measure_cost(n_calls: int, callers: tuple[int, ...]) -> list[WayCost]:
    """Send calls in closed loops; return the cost by number of callers and way."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = _build_cluster(pathlib.Path(directory))
        try:
            await _start(cluster)
            endpoint, other = cluster.endpoints
            costs: list[WayCost] = []
            for n_callers in callers:
                for way, entry in (("one hop", endpoint), ("two hops", other)):
                    costs.append(
                        await _measure_way(way, entry, endpoint, n_callers, n_calls)
                    )
            return costs
        finally:
            cluster.stop()


async def measure_memory() -> MemoryUsage:
    """Return the memory of a daemon, idle and with many open caller connections."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = _build_cluster(pathlib.Path(directory))
        try:
            await _start(cluster)
            pid = cluster.endpoints[0].daemon_process.pid
            before = read_process_usage(pid)
            await trio.sleep(IDLE_SECONDS)
            idle = read_process_usage(pid)
            idle_cpu = (idle.cpu_seconds - before.cpu_seconds) / IDLE_SECONDS
            address = cluster.endpoints[0].caller
            connections: list[sockets.Connection] = []
            for _ in range(N_IDLE_CONNECTIONS):
                connections.append(await sockets.connect(address, 1.0))
            await trio.sleep(1.0)
            loaded = read_process_usage(pid)
            for connection in connections:
                connection.close()
            return MemoryUsage(idle.memory_mb, loaded.memory_mb, 100.0 * idle_cpu)
        finally:
            cluster.stop()


def _build_cluster(directory: pathlib.Path) -> processes.Cluster:
    options = processes.ClusterOptions(BASE_PORT, directory, is_instant=True)
    return processes.Cluster(options)


async def _start(cluster: processes.Cluster) -> None:
    cluster.start(
        [
            processes.EndpointPlan("cards", "az1", "r1", 20),
            processes.EndpointPlan("other", "az2", "r1", 20),
        ]
    )
    await added_latency.create_class(cluster, "lookups", "cards", "/")
    await cluster.wait_until_ready(1)


async def _measure_way(
    way: str,
    entry: processes.RunningEndpoint,
    endpoint: processes.RunningEndpoint,
    n_callers: int,
    n_calls: int,
) -> WayCost:
    upstream_process = endpoint.upstream_process
    if upstream_process is None:
        raise RuntimeError("expected an upstream process, found none")
    pids = (
        entry.daemon_process.pid,
        endpoint.daemon_process.pid,
        upstream_process.pid,
    )
    before = [read_process_usage(pid).cpu_seconds for pid in pids]
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for index in range(n_callers):
            nursery.start_soon(
                _send_calls, entry.caller, f"{way[:3]}{index}", n_calls // n_callers
            )
    seconds = trio.current_time() - began_at
    after = [read_process_usage(pid).cpu_seconds for pid in pids]
    cpu_ms = [
        (end_seconds - start_seconds) * MS_PER_SECOND / n_calls
        for start_seconds, end_seconds in zip(before, after, strict=True)
    ]
    endpoint_ms = 0.0 if entry is endpoint else cpu_ms[1]
    return WayCost(way, n_callers, n_calls / seconds, cpu_ms[0], endpoint_ms, cpu_ms[2])


async def _send_calls(address: settings.Address, name: str, n_calls: int) -> None:
    pool = caller.CallerPool()
    for index in range(n_calls):
        request = caller.CallerRequest("cards", "GET", "/x", f"{name}-{index}", name)
        answer = await pool.call(address, request, CALL_TIMEOUT_SECONDS)
        if answer.status != 200:
            raise RuntimeError(f"expected status 200, found {answer}")
    pool.close()
