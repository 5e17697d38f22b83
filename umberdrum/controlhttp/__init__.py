"""Small HTTP/1.1 server for announcements and for the admin address."""

from umberdrum.controlhttp._server import (
    ControlHandler,
    ControlRequest,
    ControlResponse,
    build_failure_response,
    build_json_response,
    build_text_response,
    serve_control,
)

__all__ = [
    "ControlHandler",
    "ControlRequest",
    "ControlResponse",
    "build_failure_response",
    "build_json_response",
    "build_text_response",
    "serve_control",
]
