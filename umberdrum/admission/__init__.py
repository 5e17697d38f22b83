"""Admission control: which calls run in the slots of an endpoint, and when.

An endpoint is an upstream together with the daemon that runs next to it. Each slot of
the endpoint can run one call at a time; the upstream announces how many slots it has.
"""

from umberdrum.admission._fair_share import FairShares
from umberdrum.admission._gate import (
    AdmissionRequest,
    EarlyRefusalGate,
    Gate,
    SlotTicket,
)
from umberdrum.admission._knee_limit import FixedOccupancyLimit, KneeSlotLimit
from umberdrum.admission._limit import (
    FixedSlotLimit,
    LatencySlotLimit,
    SlotLimit,
)
from umberdrum.admission._pace import (
    AnnouncedSteadyPace,
    ConstantSteadyPace,
    PaceTracker,
    WindowMinimumSteadyPace,
)
from umberdrum.admission._rate_limit import ColdTolerance, RateLimiter
from umberdrum.admission._target_gate import SHORT_CALL_RATIO, TargetGate
from umberdrum.admission._time_margin import (
    BoundedTimeMargin,
    FixedTimeMargin,
    TimeMargin,
)

__all__ = [
    "SHORT_CALL_RATIO",
    "AdmissionRequest",
    "AnnouncedSteadyPace",
    "BoundedTimeMargin",
    "ColdTolerance",
    "ConstantSteadyPace",
    "EarlyRefusalGate",
    "FairShares",
    "FixedOccupancyLimit",
    "FixedSlotLimit",
    "FixedTimeMargin",
    "Gate",
    "KneeSlotLimit",
    "LatencySlotLimit",
    "PaceTracker",
    "RateLimiter",
    "SlotLimit",
    "SlotTicket",
    "TargetGate",
    "TimeMargin",
    "WindowMinimumSteadyPace",
]
