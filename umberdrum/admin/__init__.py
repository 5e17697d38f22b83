"""Admin address of a daemon: metrics, health, status, drain and explanations."""

from umberdrum.admin._desk import AdminDesk, DaemonView
from umberdrum.admin._reports import (
    CandidateLoad,
    CandidateReport,
    ClassReport,
    EndpointReport,
    ExplainReport,
    StatusReport,
)

__all__ = [
    "AdminDesk",
    "CandidateLoad",
    "CandidateReport",
    "ClassReport",
    "DaemonView",
    "EndpointReport",
    "ExplainReport",
    "StatusReport",
]
