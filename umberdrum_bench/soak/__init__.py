"""Soak test: daemons as processes under random faults.

It checks the answers that callers got against the requests that upstreams recorded.
"""

from umberdrum_bench.soak._checker import (
    DaemonOutage,
    SoakCall,
    SoakFindings,
    check_calls,
)
from umberdrum_bench.soak._plan import FaultKind, SoakFault, SoakOptions, draw_plan
from umberdrum_bench.soak._run import (
    SoakResult,
    choose_directory,
    print_result,
    read_regressions,
    run_seed,
)

__all__ = [
    "DaemonOutage",
    "FaultKind",
    "SoakCall",
    "SoakFault",
    "SoakFindings",
    "SoakOptions",
    "SoakResult",
    "check_calls",
    "choose_directory",
    "draw_plan",
    "print_result",
    "read_regressions",
    "run_seed",
]
