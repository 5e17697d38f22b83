"""Program ``umberdrum-bench``: measurements on real processes."""

import argparse
import sys
from collections.abc import Sequence

import trio

from umberdrum_bench import added


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run one measurement and print its figures."""
    options = _build_parser().parse_args(arguments)
    if options.command == "added":
        return _run_added(options)
    return 2


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
    return parser


if __name__ == "__main__":
    sys.exit(run_program())
