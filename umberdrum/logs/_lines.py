"""Formatting of structured log lines, and the event log of a daemon."""

import logging

FieldValue = str | int | float | bool | None
_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+%,[]"
)


def format_line(event: str, fields: dict[str, FieldValue]) -> str:
    """Return ``event`` and ``fields`` as one line of key=value pairs.

    Values with characters outside ``_UNQUOTED_CHARACTERS`` are quoted and escaped, so
    that no value can contain a line break or imitate a field.

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
    if value and _UNQUOTED_CHARACTERS.issuperset(value):
        return value
    escaped = value.encode("unicode_escape").decode().replace('"', '\\"')
    return f'"{escaped}"'


class EventLog:
    """Event log of one daemon; every line contains the daemon's id.

    ``write`` is for ordinary events, including routing and placement decisions, and
    ``warn`` for events that need an operator's attention. The handlers of the
    ``logging`` logger decide where the lines are written.
    """

    def __init__(self, logger: logging.Logger, daemon_id: str) -> None:
        self._logger = logger
        self._daemon_id = daemon_id

    def write(self, event: str, **fields: FieldValue) -> None:
        """Write ``event`` with ``fields`` at level info."""
        self._emit(logging.INFO, event, fields)

    def warn(self, event: str, **fields: FieldValue) -> None:
        """Write ``event`` with ``fields`` at level warning."""
        self._emit(logging.WARNING, event, fields)

    def _emit(self, level: int, event: str, fields: dict[str, FieldValue]) -> None:
        if not self._logger.isEnabledFor(level):
            return
        line = format_line(event, {"daemon": self._daemon_id, **fields})
        self._logger.log(level, line)
