"""Minimal HTTP/1.1 server for announcements, readiness and the admin address."""

from umberdrum.controlhttp._server import (
    ControlHandler,
    ControlRequest,
    ControlResponse,
    ControlServer,
    build_failure_response,
    build_json_response,
    build_text_response,
)

__all__ = [
    "ControlHandler",
    "ControlRequest",
    "ControlResponse",
    "ControlServer",
    "build_failure_response",
    "build_json_response",
    "build_text_response",
]
