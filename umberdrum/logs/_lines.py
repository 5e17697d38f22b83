"""Formatting of log lines and the log that a daemon writes events to."""

import logging

FieldValue = str | int | float | bool | None
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+%,[]"
)


def format_line(event: str, fields: dict[str, FieldValue]) -> str:
    """Return ``event`` and ``fields`` as one line of key=value pairs.

    Values with characters outside a plain set are quoted and escaped, so that a line
    never breaks and never forges a field.

    Example: ``format_line("drain", {"reason": "by operator"})`` gives
    ``event=drain reason="by operator"``.
    """
    parts = [f"event={event}"]
    for key, value in fields.items():
        parts.append(f"{key}={_format_value(value)}")
    return " ".join(parts)


def _format_value(value: FieldValue) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int):
        return str(value)
    if isinstance(value, float):
        return f"{value:.3f}"
    if value and _PLAIN.issuperset(value):
        return value
    escaped = value.encode("unicode_escape").decode().replace('"', '\\"')
    return f'"{escaped}"'


class EventLog:
    """Log of one daemon; every line carries the daemon's id.

    Use ``write`` for events, routing and placement decisions included, and ``warn`` for
    what an operator should look at. It never decides where lines go: the handlers of
    the ``logging`` logger do.
    """

    def __init__(self, logger: logging.Logger, daemon_id: str) -> None:
        self._logger = logger
        self._daemon_id = daemon_id

    def write(self, event: str, **fields: FieldValue) -> None:
        """Write one event at level info."""
        self._emit(logging.INFO, event, fields)

    def warn(self, event: str, **fields: FieldValue) -> None:
        """Write one event at level warning."""
        self._emit(logging.WARNING, event, fields)

    def _emit(self, level: int, event: str, fields: dict[str, FieldValue]) -> None:
        if not self._logger.isEnabledFor(level):
            return
        line = format_line(event, {"daemon": self._daemon_id, **fields})
        self._logger.log(level, line)
