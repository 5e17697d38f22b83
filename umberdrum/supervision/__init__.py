"""Supervision of background tasks: an error in one task ends no other task."""

from umberdrum.supervision._errors import ErrorLog
from umberdrum.supervision._tasks import (
    MAX_CONSECUTIVE_FAILURES,
    TaskStarter,
    TaskSupervisor,
)

__all__ = ["MAX_CONSECUTIVE_FAILURES", "ErrorLog", "TaskStarter", "TaskSupervisor"]
