"""Measures the latency that daemons add to a call, compared with a direct call."""

import pathlib
import random
import tempfile
from typing import NamedTuple

import trio

from umberdrum import classes, configuration, settings, store
from umberdrum_bench import caller, latency, processes

BASE_PORT = 23_000
CALL_TIMEOUT_SECONDS = 5.0


class AddedLatencyOptions(NamedTuple):
    """Call rates to measure in calls per second, the duration of each, and the seed."""

    rates: tuple[float, ...]
    seconds: float
    seed: int


class AddedLatencyResult(NamedTuple):
    """Latency of one way at one rate.

    A way is how a call reaches the upstream: directly, through one daemon or through
    two. ``added_p50_ms`` and ``added_p99_ms`` are relative to the direct way.
    """

    way: str
    calls_per_second: float
    summary: latency.LatencySummary
    added_p50_ms: float
    added_p99_ms: float


async def measure_added_latency(
    options: AddedLatencyOptions,
) -> list[AddedLatencyResult]:
    """Measure the direct, one-hop and two-hop ways at each rate."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = processes.Cluster(
            processes.ClusterOptions(
                BASE_PORT, pathlib.Path(directory), is_instant=True, seed=options.seed
            )
        )
        try:
            cluster.start(
                [
                    processes.EndpointPlan("cards", "az1", "r1", 20),
                    processes.EndpointPlan("other", "az2", "r1", 20),
                ]
            )
            await create_class(cluster, "lookups", "cards", "/")
            await cluster.wait_until_ready(1)
            return await _measure_rates(cluster, options)
        finally:
            cluster.stop()


async def create_class(
    cluster: processes.Cluster,
    name: str,
    service: str,
    path: str,
    target_ms: int = 1000,
) -> None:
    """Write an idempotent class to the store stand-in, with up to 50 attempts."""
    etcd = store.EtcdStore((cluster.store,), store.StoreCallCounter())
    repository = configuration.ClassRepository(etcd, "umberdrum")
    target = classes.Target(target_ms, 99.0)
    request_class = classes.RequestClass(name, service, (), path, True, target, name)
    for _ in range(50):
        written = await repository.write_class(request_class, 0)
        if written.is_ok():
            break
        await trio.sleep(0.1)
    etcd.close()


async def _measure_rates(
    cluster: processes.Cluster, options: AddedLatencyOptions
) -> list[AddedLatencyResult]:
    endpoint, other = cluster.endpoints
    ways = (
        ("direct", endpoint.upstream),
        ("one hop", endpoint.caller),
        ("two hops", other.caller),
    )
    rng = random.Random(options.seed)
    results: list[AddedLatencyResult] = []
    for rate in options.rates:
        recorders = {name: latency.Recorder() for name, _ in ways}
        pool = caller.CallerPool()
        # Each arrival sends one call per way in sequence, so that noise of the machine
        # affects all ways equally.
        n_rounds = max(20, int(rate * options.seconds))
        next_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for index in range(n_rounds):
                await trio.sleep_until(next_at)
                nursery.start_soon(_call_each_way, pool, ways, recorders, index)
                next_at += rng.expovariate(rate)
        pool.close()
        direct = recorders["direct"].summarize()
        for name, _ in ways:
            summary = recorders[name].summarize()
            results.append(
                AddedLatencyResult(
                    name,
                    rate,
                    summary,
                    summary.p50_ms - direct.p50_ms,
                    summary.p99_ms - direct.p99_ms,
                )
            )
    return results


async def _call_each_way(
    pool: caller.CallerPool,
    ways: tuple[tuple[str, settings.Address], ...],
    recorders: dict[str, latency.Recorder],
    index: int,
) -> None:
    for way_index, (name, address) in enumerate(ways):
        request_id = f"added-{index}-{way_index}"
        request = caller.CallerRequest("cards", "GET", "/x", request_id, name)
        answer = await pool.call(address, request, CALL_TIMEOUT_SECONDS)
        if answer.status == 200:
            recorders[name].record(answer.seconds)
