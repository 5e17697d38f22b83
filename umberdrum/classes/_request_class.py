"""Request class, its latency target and the checks of both."""

import re
from typing import NamedTuple

import expression

from umberdrum import errors

NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 600_000
MIN_PERCENTILE = 50.0
MAX_PERCENTILE = 99.99


class Target(NamedTuple):
    """Latency objective: ``percentile`` % of calls complete within ``latency_ms``.

    Example: ``Target(latency_ms=50, percentile=99.0)``.
    """

    latency_ms: int
    percentile: float


class RequestClass(NamedTuple):
    """Requests that share one latency target, as an operator defined them.

    A request belongs to the class when its service is ``service``, its method is among
    ``methods`` (empty: any) and its path starts with ``path_prefix``. A class never
    holds weights, addresses, pool sizes or timeouts: those are derived from the target.
    ``change_id`` identifies the last change of the class; its writer chose it.
    """

    name: str
    service: str
    methods: tuple[str, ...]
    path_prefix: str
    is_idempotent: bool
    target: Target
    change_id: str

    def matches(self, service: str, method: str, path: str) -> bool:
        """Return whether a request of ``method`` on ``path`` belongs to the class."""
        if service != self.service:
            return False
        if self.methods and method not in self.methods:
            return False
        return path.startswith(self.path_prefix)


def check_class(
    request_class: RequestClass,
) -> expression.Result[RequestClass, errors.Failure]:
    """Return the class, or an ``INVALID_CLASS`` failure for its first invalid field."""
    detail = _find_invalid_field(request_class)
    if detail:
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
    return expression.Ok(request_class)


def _find_invalid_field(request_class: RequestClass) -> str:
    """Return a description of the first invalid field, or an empty string."""
    for field, name in (
        ("name", request_class.name),
        ("service", request_class.service),
    ):
        if not NAME_PATTERN.fullmatch(name):
            return (
                f"{field}: expected lower-case letters, digits and hyphens, "
                f"starting with a letter, found {name!r}"
            )
    for method in request_class.methods:
        if not METHOD_PATTERN.fullmatch(method):
            return f"methods: expected an upper-case HTTP method, found {method!r}"
    if not request_class.path_prefix.startswith("/"):
        return f"path: expected a path from '/', found {request_class.path_prefix!r}"
    latency_ms = request_class.target.latency_ms
    if not MIN_LATENCY_MS <= latency_ms <= MAX_LATENCY_MS:
        return (
            f"target latency: expected {MIN_LATENCY_MS} to {MAX_LATENCY_MS} ms, "
            f"found {latency_ms}"
        )
    percentile = request_class.target.percentile
    if not MIN_PERCENTILE <= percentile <= MAX_PERCENTILE:
        return (
            f"target percentile: expected {MIN_PERCENTILE:g} to {MAX_PERCENTILE:g}, "
            f"found {percentile:g}"
        )
    return ""
