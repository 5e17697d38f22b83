"""HTTP API of the admin address: health, metrics, status, drain and routing."""

from umberdrum.admin._handler import AdminHandler, DaemonView
from umberdrum.admin._reports import (
    AccountReport,
    CandidateLoad,
    CandidateReport,
    ClassReport,
    EndpointReport,
    ExplainReport,
    StatusReport,
    WhereCandidate,
    WhereQuestion,
    WhereReport,
    ZoneRoom,
)

__all__ = [
    "AccountReport",
    "AdminHandler",
    "CandidateLoad",
    "CandidateReport",
    "ClassReport",
    "DaemonView",
    "EndpointReport",
    "ExplainReport",
    "StatusReport",
    "WhereCandidate",
    "WhereQuestion",
    "WhereReport",
    "ZoneRoom",
]
