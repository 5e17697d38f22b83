"""Structured logs: one line of key=value pairs for each event."""

from umberdrum.logs._lines import EventLog, FieldValue, format_line
from umberdrum.logs._writer import LineWriter

__all__ = ["EventLog", "FieldValue", "LineWriter", "format_line"]
