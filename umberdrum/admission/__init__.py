"""Admission of calls to the slots of one endpoint."""

from umberdrum.admission._gate import (
    AdmissionGate,
    AdmissionRequest,
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

__all__ = [
    "AdmissionGate",
    "AdmissionRequest",
    "FixedOccupancyLimit",
    "FixedSlotLimit",
    "Gate",
    "KneeSlotLimit",
    "LatencySlotLimit",
    "LowestSteadyPace",
    "PaceTracker",
    "SlotLimit",
    "SlotTicket",
    "TargetGate",
    "UsualSteadyPace",
]
