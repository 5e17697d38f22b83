"""Request handler of the admin address."""

from collections.abc import Callable, Mapping
from typing import Protocol

from umberdrum import controlhttp, errors
from umberdrum.admin import _reports

MAX_BODY_DIGITS = 12


class DaemonView(Protocol):
    """Operations of a daemon that the admin address exposes."""

    def is_ready(self) -> bool:
        """Return whether this daemon can take calls."""

    def build_status(self) -> _reports.StatusReport:
        """Return the state of the daemon and of the endpoints that it knows."""

    def explain(self, service: str, method: str, path: str) -> _reports.ExplainReport:
        """Return how a call would be routed now, with the candidates."""

    def list_accounts(self) -> list[_reports.AccountReport]:
        """Return the client accounts in force, those with most requests first."""

    async def explain_where(
        self, question: _reports.WhereQuestion
    ) -> _reports.WhereReport:
        """Return where a request would go now, and why, without sending it."""

    def set_drain_ordered(self, is_ordered: bool) -> None:
        """Set or lift the order to drain the local upstream."""


class AdminHandler:
    """Handles the requests of operators and monitoring."""

    def __init__(self, view: DaemonView, render_metrics: Callable[[], str]) -> None:
        self._view = view
        self._render_metrics = render_metrics

    async def handle(
        self, request: controlhttp.ControlRequest
    ) -> controlhttp.ControlResponse:
        """Return the response to one request."""
        if request.method == "GET" and request.path == "/v1/where":
            return await self._handle_where(request)
        if request.method == "GET":
            return self._handle_get(request)
        if request.method == "POST" and request.path == "/v1/drain":
            self._view.set_drain_ordered(True)
            return controlhttp.build_json_response({"drain_ordered": True})
        if request.method == "DELETE" and request.path == "/v1/drain":
            self._view.set_drain_ordered(False)
            return controlhttp.build_json_response({"drain_ordered": False})
        return _build_not_found_response(request)

    def _handle_get(
        self, request: controlhttp.ControlRequest
    ) -> controlhttp.ControlResponse:
        if request.path == "/healthz":
            return controlhttp.build_text_response("ok\n")
        if request.path == "/readyz":
            if self._view.is_ready():
                return controlhttp.build_text_response("ready\n")
            return controlhttp.build_text_response("not ready\n", 503)
        if request.path == "/metrics":
            return controlhttp.build_text_response(self._render_metrics())
        if request.path == "/v1/status":
            return controlhttp.build_json_response(dict(self._view.build_status()))
        if request.path == "/v1/accounts":
            rows = self._view.list_accounts()
            return controlhttp.build_json_response({"accounts": rows})
        if request.path == "/v1/explain":
            report = self._view.explain(
                request.query.get("service", ""),
                request.query.get("method", "GET"),
                request.query.get("path", "/"),
            )
            return controlhttp.build_json_response(dict(report))
        return _build_not_found_response(request)

    async def _handle_where(
        self, request: controlhttp.ControlRequest
    ) -> controlhttp.ControlResponse:
        query = request.query
        error = _find_question_error(query)
        if error:
            return controlhttp.build_failure_response(
                errors.fail(errors.ErrorKind.MALFORMED_REQUEST, error)
            )
        question = _reports.WhereQuestion(
            query["host"].lower(),
            query.get("method", "GET"),
            query.get("path", "/"),
            query.get("account", ""),
            int(query.get("body_bytes", "0")),
        )
        report = await self._view.explain_where(question)
        return controlhttp.build_json_response(dict(report))


def _find_question_error(query: Mapping[str, str]) -> str:
    """Return what is wrong with the question, empty if nothing is."""
    if not query.get("host"):
        return "host: expected a name, found nothing"
    if not query.get("path", "/").startswith("/"):
        return f"path: expected a slash first, found {query['path'][:100]!r}"
    body_bytes = query.get("body_bytes", "0")
    if not (body_bytes.isdecimal() and len(body_bytes) <= MAX_BODY_DIGITS):
        return f"body_bytes: expected a number, found {body_bytes[:40]!r}"
    return ""


def _build_not_found_response(
    request: controlhttp.ControlRequest,
) -> controlhttp.ControlResponse:
    detail = f"no such resource: {request.method} {request.path[:100]}"
    return controlhttp.build_failure_response(
        errors.fail(errors.ErrorKind.NOT_FOUND, detail)
    )
