"""Admission of calls to the slots of one endpoint."""

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
    LowestSteadyPace,
    PaceTracker,
    UsualSteadyPace,
)
from umberdrum.admission._target_gate import TargetGate
from umberdrum.admission._time_margin import (
    BoundedTimeMargin,
    FixedTimeMargin,
    TimeMargin,
)

__all__ = [
    "AdmissionRequest",
    "BoundedTimeMargin",
    "EarlyRefusalGate",
    "FixedOccupancyLimit",
    "FixedSlotLimit",
    "FixedTimeMargin",
    "Gate",
    "KneeSlotLimit",
    "LatencySlotLimit",
    "LowestSteadyPace",
    "PaceTracker",
    "SlotLimit",
    "SlotTicket",
    "TargetGate",
    "TimeMargin",
    "UsualSteadyPace",
]
