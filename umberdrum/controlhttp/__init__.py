"""Small HTTP/1.1 server for announcements and for the admin address."""

from umberdrum.controlhttp._server import (
    ControlAnswer,
    ControlHandler,
    ControlRequest,
    answer_failure,
    answer_json,
    answer_text,
    serve_control,
)

__all__ = [
    "ControlAnswer",
    "ControlHandler",
    "ControlRequest",
    "answer_failure",
    "answer_json",
    "answer_text",
    "serve_control",
]
