"""Program ``umberdrum-bench``: measurements on real processes."""

import argparse
import gc
import json
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence

import trio

from umberdrum_bench import added, cost, experiment, fleet, sizes, soak

GC_THRESHOLDS = (50_000, 20, 50)
SOAK_BASE_PORT = 32_000


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run one measurement and print its figures."""
    options = _build_parser().parse_args(arguments)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    if options.command == "added":
        return _run_added(options)
    if options.command == "cost":
        return _run_cost(options)
    if options.command == "run":
        return _run_experiments(options)
    if options.command == "sizes":
        return _run_sizes()
    if options.command == "fleet":
        return _run_fleet(options)
    if options.command == "soak":
        return _run_soak(options)
    return _run_memory()


def _run_added(options: argparse.Namespace) -> int:
    rates = tuple(float(rate) for rate in options.rates.split(","))
    wanted = added.AddedOptions(rates, options.seconds, options.seed)
    results = trio.run(added.measure_added, wanted)
    print(f"{'way':10}{'calls/s':>9}{'calls':>8}{'p50 ms':>9}{'p99 ms':>9}", end="")
    print(f"{'added p50':>11}{'added p99':>11}")
    for row in results:
        print(
            f"{row.way:10}{row.calls_per_second:9.0f}{row.summary.n_values:8}"
            f"{row.summary.p50_ms:9.3f}{row.summary.p99_ms:9.3f}"
            f"{row.added_p50_ms:11.3f}{row.added_p99_ms:11.3f}"
        )
    return 0


def _run_cost(options: argparse.Namespace) -> int:
    callers = tuple(int(count) for count in options.callers.split(","))
    print(f"{'way':10}{'callers':>8}{'calls/s':>9}", end="")
    print(f"{'entry ms':>10}{'endpoint ms':>13}{'upstream ms':>13}")
    for row in trio.run(cost.measure_cost, options.calls, callers):
        print(
            f"{row.way:10}{row.n_callers:8}{row.calls_per_second:9.0f}"
            f"{row.entry_ms:10.3f}{row.endpoint_ms:13.3f}{row.upstream_ms:13.3f}"
        )
    return 0


def _run_fleet(options: argparse.Namespace) -> int:
    print(f"{'daemons':>8}{'B/s':>7}{'cpu %':>7}{'MB':>7}{'store/s':>9}", end="")
    print(f"{'watches':>8}{'change s':>10}{'leave s':>9}{'death s':>9}", end="")
    print(f"{'loss s':>8}{'worst B/s':>11}", flush=True)
    for size in options.sizes.split(","):
        wanted = fleet.FleetOptions(
            int(size),
            options.changes,
            options.leaves,
            options.deaths,
            int(int(size) * options.lost_share),
            options.settle,
            options.base_port,
            options.store_down,
        )
        row = trio.run(fleet.measure_fleet, wanted)
        print(
            f"{row.n_daemons:8}{row.control_bytes_per_second:7.0f}"
            f"{row.cpu_percent:7.2f}{row.memory_mb:7.1f}"
            f"{row.store_calls_per_second:9.2f}{row.n_store_watches:8}"
            f"{row.change_seconds:10.2f}{row.leave_seconds:9.2f}"
            f"{row.death_seconds:9.2f}{row.loss_seconds:8.2f}"
            f"{row.worst_bytes_per_second:11.0f}",
            flush=True,
        )
    return 0


def _run_experiments(options: argparse.Namespace) -> int:
    """Run the experiments in turn, again and again, and compare them with the first."""
    plans = [experiment.read_plan(pathlib.Path(name)) for name in options.files]
    results: list[experiment.ExperimentResult] = []
    print(f"{'experiment':26}{'calls':>7}{'refused':>8}{'failed':>7}", end="")
    print(f"{'p50 ms':>9}{'p99 ms':>9}{'p99.9':>9}{'within %':>9}{'p99 ratio':>10}")
    for repeat in range(options.repeats):
        first_p99_ms = 0.0
        for plan in plans:
            seeded = plan._replace(seed=plan.seed + repeat)
            row = trio.run(experiment.run_experiment, seeded, options.base_port)
            results.append(row)
            first_p99_ms = first_p99_ms or row.p99_ms
            print(
                f"{row.name:26}{row.n_calls:7}{row.n_refused:8}{row.n_failed:7}"
                f"{row.p50_ms:9.2f}{row.p99_ms:9.2f}{row.p999_ms:9.2f}"
                f"{row.share_within:9.2f}{row.p99_ms / first_p99_ms:10.2f}",
                flush=True,
            )
    if options.json:
        rows = [row._asdict() for row in results]
        pathlib.Path(options.json).write_text(json.dumps(rows, indent=2) + "\n")
    return 0


def _run_soak(options: argparse.Namespace) -> int:
    """Run seeds that once failed, the seeds asked for, and fresh ones."""
    seeds = [int(seed) for seed in options.seeds.split(",") if seed]
    if options.regressions:
        seeds = [row.seed for row in soak.read_regressions()] + seeds
    seeds += [random.SystemRandom().randrange(1 << 31) for _ in range(options.fresh)]
    n_broken = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            directory = pathlib.Path(temporary)
            if options.keep:
                directory = pathlib.Path(options.keep) / f"seed-{seed}"
            wanted = soak.SoakOptions(
                seed, options.endpoints, options.seconds, directory, options.base_port
            )
            result = trio.run(soak.run_seed, wanted)
        soak.print_result(result)
        n_broken += bool(result.findings.broken)
        if result.is_interrupted:
            break
    print(f"{len(seeds) - n_broken} seeds kept every promise, {n_broken} did not")
    return 1 if n_broken else 0


def _run_sizes() -> int:
    for row in sizes.measure_sizes():
        print(f"{row.what:24}{row.n_bytes:9.0f} B")
    return 0


def _run_memory() -> int:
    use = trio.run(cost.measure_memory)
    print(f"idle: {use.idle_mb:.1f} MB, {use.idle_cpu_percent:.2f} % of a core")
    print(
        f"with {cost.N_IDLE_CONNECTIONS} connections: {use.with_connections_mb:.1f} MB"
    )
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="umberdrum-bench",
        description="Measurements of umberdrum on real processes on this machine.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="command")
    latency_added = commands.add_parser("added", help="latency that daemons add")
    latency_added.add_argument("--rates", default="1,60,300", help="calls a second")
    latency_added.add_argument("--seconds", type=float, default=10.0)
    latency_added.add_argument("--seed", type=int, default=1)
    processor = commands.add_parser("cost", help="processor time of calls")
    processor.add_argument("--calls", type=int, default=6000)
    processor.add_argument("--callers", default="1,8", help="closed loops")
    control = commands.add_parser("fleet", help="control costs against fleet size")
    control.add_argument("--sizes", default="12,60,200", help="daemons")
    control.add_argument("--changes", type=int, default=30)
    control.add_argument("--leaves", type=int, default=5)
    control.add_argument("--deaths", type=int, default=5)
    control.add_argument("--lost-share", type=float, default=0.1, help="at once")
    control.add_argument("--settle", type=float, default=30.0, help="seconds")
    control.add_argument("--base-port", type=int, default=fleet.BASE_PORT)
    control.add_argument("--store-down", action="store_true", help="for the exits")
    runs = commands.add_parser("run", help="run experiments, interleaved")
    runs.add_argument("files", nargs="+", help="INI files of experiments")
    runs.add_argument("--repeats", type=int, default=1)
    runs.add_argument("--base-port", type=int, default=experiment.BASE_PORT)
    runs.add_argument("--json", default="", help="file for the results")
    faults = commands.add_parser("soak", help="random faults on real processes")
    faults.add_argument("--seeds", default="", help="seeds, separated by commas")
    faults.add_argument("--fresh", type=int, default=0, help="number of new seeds")
    faults.add_argument(
        "--regressions", action="store_true", help="also the seeds that once failed"
    )
    faults.add_argument("--seconds", type=float, default=20.0, help="under faults")
    faults.add_argument("--endpoints", type=int, default=8)
    faults.add_argument("--base-port", type=int, default=SOAK_BASE_PORT)
    faults.add_argument("--keep", default="", help="folder for logs and records")
    commands.add_parser("sizes", help="sizes in memory and on the wire")
    commands.add_parser("memory", help="memory of a daemon")
    return parser


if __name__ == "__main__":
    sys.exit(run_program())
