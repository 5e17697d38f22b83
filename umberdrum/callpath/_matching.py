"""Matching of calls with the operator's classes or routes."""

import random
from collections.abc import Callable
from typing import Protocol

import expression

from umberdrum import accounts, classes, errors, routetable
from umberdrum.callpath import _headers, _paths

NO_ROUTES_RETRY_MS = 500
# By then a fetch that was not answered has been repeated at another daemon.
OUTDATED_RETRY_MS = 300
QUEUE_SHARE_OF_TARGET = 0.5
HEDGE_SHARE_OF_TARGET = 0.5
ROUTE_PERCENTILE = 99.0

MatchResult = expression.Result[classes.ClassWithPolicy, errors.Failure]
OutdatedCheck = Callable[[], bool]


class CallMatcher(Protocol):
    """Interface that finds the class, latency target and policy of a call."""

    @property
    def version(self) -> int:
        """Version of the classes or routes that calls are matched with."""

    @property
    def accounts(self) -> accounts.AccountTable | None:
        """Client accounts in force, None if requests belong to none."""

    @property
    def is_outdated(self) -> bool:
        """Whether a newer document is known and not received yet."""

    def match(
        self, fields: _headers.CallFields, method: str, target: bytes
    ) -> MatchResult:
        """Return the class of the call with its policy, or the failure."""


class ClassMatcher:
    """Matches calls with the classes in the catalog, by service, method and path.

    ``is_outdated`` tells whether a newer document is known and not received yet. A call
    without a class is then refused as ``ROUTES_OUTDATED``.
    """

    def __init__(self, is_outdated: OutdatedCheck) -> None:
        self.catalog = classes.Catalog()
        self._check_outdated = is_outdated

    @property
    def version(self) -> int:
        """Highest revision of any class in the catalog."""
        return self.catalog.revision

    @property
    def accounts(self) -> accounts.AccountTable | None:
        """None, since classes know no client accounts."""
        return None

    @property
    def is_outdated(self) -> bool:
        """Whether a newer class is known and not received yet."""
        return self._check_outdated()

    def match(
        self, fields: _headers.CallFields, method: str, target: bytes
    ) -> MatchResult:
        """Return the class of the call with its policy, or the failure."""
        if self.catalog.position == classes.NO_POSITION:
            return expression.Error(_build_no_routes_failure("no class is known yet"))
        path = _paths.normalize_path(target)
        service = fields.service
        class_with_policy = self.catalog.match(service, method, path)
        if class_with_policy is not None:
            return expression.Ok(class_with_policy)
        kind = errors.ErrorKind.UNKNOWN_CLASS
        detail = f"no class of {service!r} matches {method} {path[:200]}"
        if not self.catalog.has_service(service):
            kind = errors.ErrorKind.UNKNOWN_SERVICE
            detail = f"no class names the service {service!r}"
        return expression.Error(
            explain_mismatch(errors.fail(kind, detail), self.is_outdated)
        )


class RouteMatcher:
    """Matches calls with the route table in force, by host and path.

    If a route is split between services, each call picks one at random in proportion to
    the weights. Every daemon then keeps the proportions without any coordination.

    ``is_outdated`` tells whether a newer table is known and not received yet. A call
    without a route is then refused as ``ROUTES_OUTDATED``.
    """

    def __init__(
        self,
        source: routetable.RouteTableSource,
        rng: random.Random,
        is_outdated: OutdatedCheck,
    ) -> None:
        self._source = source
        self._rng = rng
        self._check_outdated = is_outdated
        self._table: routetable.RouteTable | None = None
        self._route_classes: dict[routetable.Route, list[classes.ClassWithPolicy]] = {}

    @property
    def version(self) -> int:
        """Version of the route table in force, 0 before the first was received."""
        return self._source.table.version if self._source.table is not None else 0

    @property
    def accounts(self) -> accounts.AccountTable | None:
        """Client accounts of the route table in force, None if it has none."""
        return self._source.table.accounts if self._source.table is not None else None

    @property
    def is_outdated(self) -> bool:
        """Whether a newer route table is known and not received yet."""
        return self._check_outdated()

    def match(
        self, fields: _headers.CallFields, method: str, target: bytes
    ) -> MatchResult:
        """Return the route of the call as a class with its policy, or the failure."""
        table = self._source.table
        if table is None:
            detail = "no route table was received yet"
            return expression.Error(_build_no_routes_failure(detail))
        if table is not self._table:
            self._table = table
            self._route_classes.clear()
        path = target.split(b"?", 1)[0].decode("latin-1")
        route = table.match(fields.service, path)
        if route is None:
            detail = (
                f"version {table.version} has no route for {fields.service}{path[:200]}"
            )
            failure = errors.fail(errors.ErrorKind.UNKNOWN_ROUTE, detail)
            return expression.Error(explain_mismatch(failure, self.is_outdated))
        route_classes = self._route_classes.get(route)
        if route_classes is None:
            route_classes = self._route_classes[route] = _build_route_classes(route)
        if len(route_classes) == 1:
            return expression.Ok(route_classes[0])
        weights = [share.weight for share in route.shares]
        return expression.Ok(self._rng.choices(route_classes, weights)[0])


def _build_no_routes_failure(detail: str) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.NO_ROUTES_YET,
        errors.Execution.NOT_RUN,
        detail,
        NO_ROUTES_RETRY_MS,
    )


def explain_mismatch(failure: errors.Failure, is_outdated: bool) -> errors.Failure:
    """Return the failure of a call that matches no route, or whose key is unknown.

    It is ``failure`` unless a newer document is known, which may say otherwise.

    Load pattern: a route or a key is added, and calls for it reach daemons that have
    heard of the newer table while they still fetch it.
    """
    if not is_outdated:
        return failure
    return errors.Failure(
        errors.ErrorKind.ROUTES_OUTDATED,
        errors.Execution.NOT_RUN,
        f"{failure.detail}; a newer document is being fetched",
        OUTDATED_RETRY_MS,
    )


def _build_route_classes(route: routetable.Route) -> list[classes.ClassWithPolicy]:
    """Return a class with its policy for each service that the route forwards to."""
    hedge_after_ms = 0
    if route.is_idempotent:
        hedge_after_ms = max(1, int(route.target_latency_ms * HEDGE_SHARE_OF_TARGET))
    policy = classes.CallPolicy(
        deadline_ms=route.timeout_ms,
        max_attempts=route.max_attempts,
        hedge_after_ms=hedge_after_ms,
        max_queue_ms=max(1, int(route.target_latency_ms * QUEUE_SHARE_OF_TARGET)),
        timeout_ms=route.timeout_ms,
        priority=route.priority,
        is_public=route.is_public,
    )
    route_classes: list[classes.ClassWithPolicy] = []
    for share in route.shares:
        request_class = classes.RequestClass(
            name=route.name,
            service=share.service,
            methods=(),
            path_prefix=route.path_prefix,
            is_idempotent=route.is_idempotent,
            target=classes.Target(route.target_latency_ms, ROUTE_PERCENTILE),
            change_id="",
        )
        route_classes.append(classes.ClassWithPolicy(request_class, policy))
    return route_classes
