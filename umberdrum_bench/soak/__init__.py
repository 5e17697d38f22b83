"""Fault soak: daemons as processes under random faults, judged from both ends."""

from umberdrum_bench.soak._judgement import Disturbance, SoakCall, SoakFindings, judge
from umberdrum_bench.soak._plan import FaultKind, SoakFault, SoakOptions, draw_plan
from umberdrum_bench.soak._run import (
    SoakResult,
    print_result,
    read_regressions,
    run_seed,
)

__all__ = [
    "Disturbance",
    "FaultKind",
    "SoakCall",
    "SoakFault",
    "SoakFindings",
    "SoakOptions",
    "SoakResult",
    "draw_plan",
    "judge",
    "print_result",
    "read_regressions",
    "run_seed",
]
