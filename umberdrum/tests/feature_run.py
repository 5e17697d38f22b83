"""Runs all features in parallel processes and sums up their scenario counts.

Scenarios that KNOWN-RED.txt names in a line ``scenario: FILE | NAME`` are reported and
do not fail the run.
"""

import os
import pathlib
import re
import subprocess
import sys
from typing import NamedTuple

from umberdrum.tests import harness

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TESTS = "umberdrum/tests"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
GROUP_VARIABLE = "UMBERDRUM_TEST_GROUP"
# Packages whose features run whole daemons, with the index of their group.
WHOLE_DAEMON_PACKAGES = {"callpath": 1, "daemon": 2}
# Features of the adapter that share one process.
JOINT_FEATURES = frozenset(
    ("adapter", "faulty_responses", "late_routes", "store_contract")
)
# The slowest group takes about 100 s on a busy machine.
TIMEOUT_SECONDS = 900
_COUNTS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.M)
_FAILING = re.compile(r"^  (\S+\.feature):\d+\s+(.+)$", re.M)


class GroupResult(NamedTuple):
    """Counts of one process and the scenarios that failed in it."""

    n_passed: int
    n_failed: int
    failing: list[str]
    output: str


def list_groups() -> list[list[str]]:
    """Return the feature paths of each process.

    Each feature that tests whole daemons gets its own process, since it mostly waits
    for its virtual clock. The features of single packages share one process, but for
    those of the call path and the daemon, which also run whole daemons. Behave loads
    steps from the directory of the first path. The other groups therefore begin
    with ``steps.feature``, which lies beside the steps. A few features of the
    adapter share one process.
    """
    steps = f"{TESTS}/steps.feature"
    groups = [[steps], [steps], [steps]]
    for path in sorted(ROOT.glob("umberdrum/*/tests/*.feature")):
        package = path.parent.parent.name
        index = WHOLE_DAEMON_PACKAGES.get(package, 0)
        groups[index].append(str(path.relative_to(ROOT)))
    for path in sorted((ROOT / TESTS).glob("*.feature")):
        relative = str(path.relative_to(ROOT))
        if relative != steps:
            groups.append([relative])
    others = sorted(ROOT.glob("umberdrum_bench/*/tests/*.feature"))
    joint = [steps]
    for path in sorted(ROOT.glob("platform/*/tests/*.feature")):
        if path.stem in JOINT_FEATURES:
            joint.append(str(path.relative_to(ROOT)))
            continue
        others.append(path)
    for path in others:
        groups.append([steps, str(path.relative_to(ROOT))])
    groups.append(joint)
    return groups


def read_known_red() -> set[str]:
    """Return the scenarios that are known to fail, as ``FILE | NAME``."""
    if not KNOWN_RED.exists():
        return set()
    known: set[str] = set()
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("scenario: "):
            known.add(line.removeprefix("scenario: ").strip())
    return known


def start_group(index: int, paths: list[str]) -> "subprocess.Popen[str]":
    """Start behave for one group; each group binds ports of its own range."""
    return subprocess.Popen(
        [sys.executable, "-m", "behave", *paths],
        cwd=ROOT,
        env={**os.environ, GROUP_VARIABLE: str(index)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def collect_result(process: "subprocess.Popen[str]") -> GroupResult:
    """Wait for one process; a process that prints no counts is one failure."""
    try:
        output, _ = process.communicate(timeout=TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        output, _ = process.communicate()
        output += f"\nkilled after {TIMEOUT_SECONDS} s without a result\n"
    counts = _COUNTS.search(output)
    if counts is None:
        return GroupResult(0, 1, ["no counts were printed"], output)
    failing = [f"{path} | {name.strip()}" for path, name in _FAILING.findall(output)]
    n_failed = int(counts[2]) + int(counts[3] or 0)
    return GroupResult(int(counts[1]), n_failed, failing, output)


def main() -> int:
    """Run all groups; print failures and totals; return 1 on an unknown failure."""
    groups = list_groups()
    if len(groups) > harness.N_GROUPS:
        print(f"{len(groups)} groups, but ports for only {harness.N_GROUPS}")
        return 1
    processes = [start_group(*row) for row in enumerate(groups)]
    results = [collect_result(process) for process in processes]
    known = read_known_red()
    n_known = 0
    for result in results:
        if not result.n_failed:
            continue
        print(result.output)
        n_known += sum(1 for name in result.failing if name in known)
    n_passed = sum(result.n_passed for result in results)
    n_failed = sum(result.n_failed for result in results)
    if n_known:
        print(f"known red (KNOWN-RED.txt): {n_known}")
    print(f"{n_passed} passed, {n_failed} failed")
    return 0 if n_failed == n_known and n_passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
