"""Admission of calls to the slots of one endpoint."""

from umberdrum.admission._gate import AdmissionGate, AdmissionRequest, SlotTicket
from umberdrum.admission._limit import (
    FixedSlotLimit,
    LatencySlotLimit,
    SlotLimit,
)

__all__ = [
    "AdmissionGate",
    "AdmissionRequest",
    "FixedSlotLimit",
    "LatencySlotLimit",
    "SlotLimit",
    "SlotTicket",
]
