"""Program ``umberdrum-bench``: benchmarks and fault tests on real processes."""

import argparse
import gc
import json
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence

import trio

from umberdrum_bench import added_latency, cost, experiment, fleet, sizes, soak

GC_THRESHOLDS = (50_000, 20, 50)
SOAK_BASE_PORT = 32_000


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run the subcommand and print its results; return the exit code."""
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
    measure_options = added_latency.AddedLatencyOptions(
        rates, options.seconds, options.seed
    )
    results = trio.run(added_latency.measure_added_latency, measure_options)
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
        measure_options = fleet.FleetOptions(
            int(size),
            options.changes,
            options.leaves,
            options.deaths,
            int(int(size) * options.lost_share),
            options.settle,
            options.base_port,
            options.store_down,
        )
        row = trio.run(fleet.measure_fleet, measure_options)
        print(
            f"{row.n_daemons:8}{row.control_bytes_per_second:7.0f}"
            f"{row.cpu_percent:7.2f}{row.memory_mb:7.1f}"
            f"{row.store_calls_per_second:9.2f}{row.n_store_watches:8}"
            f"{row.change_seconds:10.2f}{row.leave_seconds:9.2f}"
            f"{row.death_seconds:9.2f}{row.loss_seconds:8.2f}"
            f"{row.loss_bytes_per_second:11.0f}",
            flush=True,
        )
    return 0


def _run_experiments(options: argparse.Namespace) -> int:
    """Run all experiments in each repeat; compare their p99 with that of the first."""
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
    """Run the regression seeds if requested, then the given and the random seeds."""
    seeds = [int(seed) for seed in options.seeds.split(",") if seed]
    if options.regressions:
        seeds = [row.seed for row in soak.read_regressions()] + seeds
    seeds += [random.SystemRandom().randrange(1 << 31) for _ in range(options.fresh)]
    n_failed_seeds = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            directory = pathlib.Path(temporary)
            if options.keep:
                directory = soak.choose_directory(pathlib.Path(options.keep), seed)
            measure_options = soak.SoakOptions(
                seed, options.endpoints, options.seconds, directory, options.base_port
            )
            result = trio.run(soak.run_seed, measure_options)
        soak.print_result(result)
        n_failed_seeds += bool(result.findings.violations)
        if result.is_interrupted:
            break
    print(
        f"{len(seeds) - n_failed_seeds} seeds kept every promise, "
        f"{n_failed_seeds} did not"
    )
    return 1 if n_failed_seeds else 0


def _run_sizes() -> int:
    for row in sizes.measure_sizes():
        print(f"{row.item:24}{row.n_bytes:9.0f} B")
    return 0


def _run_memory() -> int:
    usage = trio.run(cost.measure_memory)
    print(f"idle: {usage.idle_mb:.1f} MB, {usage.idle_cpu_percent:.2f} % of a core")
    print(
        f"with {cost.N_IDLE_CONNECTIONS} connections: "
        f"{usage.with_connections_mb:.1f} MB"
    )
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="umberdrum-bench",
        description="Measurements of umberdrum on real processes on this machine.",
    )
    subcommands = parser.add_subparsers(
        dest="command", required=True, metavar="command"
    )
    added_parser = subcommands.add_parser("added", help="latency added by daemons")
    added_parser.add_argument(
        "--rates", default="1,60,300", help="calls per second, separated by commas"
    )
    added_parser.add_argument("--seconds", type=float, default=10.0)
    added_parser.add_argument("--seed", type=int, default=1)
    cost_parser = subcommands.add_parser("cost", help="CPU time per call")
    cost_parser.add_argument("--calls", type=int, default=6000)
    cost_parser.add_argument(
        "--callers",
        default="1,8",
        help="numbers of closed-loop callers, separated by commas",
    )
    fleet_parser = subcommands.add_parser(
        "fleet", help="control plane cost by fleet size"
    )
    fleet_parser.add_argument(
        "--sizes", default="12,60,200", help="numbers of daemons, separated by commas"
    )
    fleet_parser.add_argument("--changes", type=int, default=30)
    fleet_parser.add_argument("--leaves", type=int, default=5)
    fleet_parser.add_argument("--deaths", type=int, default=5)
    fleet_parser.add_argument(
        "--lost-share", type=float, default=0.1, help="share of daemons killed at once"
    )
    fleet_parser.add_argument(
        "--settle", type=float, default=30.0, help="warm-up in seconds"
    )
    fleet_parser.add_argument("--base-port", type=int, default=fleet.BASE_PORT)
    fleet_parser.add_argument(
        "--store-down",
        action="store_true",
        help="keep the store down during leaves, deaths and losses",
    )
    run_parser = subcommands.add_parser("run", help="run experiments in turn")
    run_parser.add_argument("files", nargs="+", help="INI files of experiments")
    run_parser.add_argument("--repeats", type=int, default=1)
    run_parser.add_argument("--base-port", type=int, default=experiment.BASE_PORT)
    run_parser.add_argument("--json", default="", help="file for the results")
    soak_parser = subcommands.add_parser("soak", help="random faults on real processes")
    soak_parser.add_argument("--seeds", default="", help="seeds, separated by commas")
    soak_parser.add_argument(
        "--fresh", type=int, default=0, help="number of random seeds"
    )
    soak_parser.add_argument(
        "--regressions", action="store_true", help="also run the seeds of past failures"
    )
    soak_parser.add_argument(
        "--seconds", type=float, default=20.0, help="time under faults in seconds"
    )
    soak_parser.add_argument("--endpoints", type=int, default=8)
    soak_parser.add_argument("--base-port", type=int, default=SOAK_BASE_PORT)
    soak_parser.add_argument("--keep", default="", help="folder for logs and records")
    subcommands.add_parser("sizes", help="sizes in memory and on the wire")
    subcommands.add_parser("memory", help="memory of a daemon")
    return parser


if __name__ == "__main__":
    sys.exit(run_program())
