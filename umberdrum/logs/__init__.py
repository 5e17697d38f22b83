"""Structured logs: one line of key=value pairs per event."""

from umberdrum.logs._flusher import LineFlusher
from umberdrum.logs._lines import EventLog, FieldValue, format_line
from umberdrum.logs._writer import FLUSH_INTERVAL_SECONDS, LineWriter

__all__ = [
    "FLUSH_INTERVAL_SECONDS",
    "EventLog",
    "FieldValue",
    "LineFlusher",
    "LineWriter",
    "format_line",
]
