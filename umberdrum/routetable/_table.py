"""Aggregate of all routes in force at one version."""

from collections.abc import Mapping, Sequence

import expression

from umberdrum import errors
from umberdrum.routetable import _route

TableResult = expression.Result["RouteTable", errors.Failure]


class RouteTable:
    """Immutable set of routes that an operator published under one version.

    A request belongs to the route of its host whose prefix is the longest that begins
    its path. ``build_table`` is the only way to build one, so that every table that
    exists is consistent. ``health_paths`` names, by service, the path on which an
    upstream answers probes.
    """

    def __init__(
        self,
        version: int,
        bounds: _route.CallerBounds,
        routes: Sequence[_route.Route],
        health_paths: Mapping[str, str],
    ) -> None:
        self.health_paths = dict(health_paths)
        self.version = version
        self.bounds = bounds
        self.routes = tuple(routes)
        self._by_host: dict[str, dict[str, _route.Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> _route.Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        Prefixes end with a slash, so only the path up to each of its slashes can be
        one: the cost grows with the depth of the path and not with the routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route


def build_table(
    version: int,
    bounds: _route.CallerBounds,
    routes: Sequence[_route.Route],
    health_paths: Mapping[str, str],
) -> TableResult:
    """Return the table, or a failure that names the first inconsistent route."""
    if version < 1:
        return _report(f"version: expected a positive number, found {version}")
    places: set[tuple[str, str]] = set()
    for route in routes:
        fault = _find_fault(route)
        if fault:
            return _report(f"route {route.name!r}: {fault}")
        place = (route.host, route.path_prefix)
        if place in places:
            return _report(
                f"route {route.name!r}: expected one route for each prefix, found "
                f"another for {route.host}{route.path_prefix}"
            )
        places.add(place)
    return expression.Ok(RouteTable(version, bounds, routes, health_paths))


def _find_fault(route: _route.Route) -> str:
    """Return what is wrong with the route, or an empty string."""
    if not route.host:
        return "host: expected a name, found nothing"
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        return f"prefix: expected a slash at both ends, found {prefix!r}"
    if not route.shares:
        return "expected a service, found none"
    for share in route.shares:
        if not share.service or share.weight < 0:
            return f"expected a service with a weight of 0 or more, found {share}"
    if sum(share.weight for share in route.shares) <= 0:
        return "expected a positive sum of weights"
    if route.max_attempts < 1:
        return f"attempts: expected at least 1, found {route.max_attempts}"
    if route.timeout_ms < 1:
        return f"timeout: expected at least 1 ms, found {route.timeout_ms}"
    if route.target_latency_ms < 1:
        return f"target: expected at least 1 ms, found {route.target_latency_ms}"
    return ""


def _report(detail: str) -> TableResult:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_ROUTES, detail))
