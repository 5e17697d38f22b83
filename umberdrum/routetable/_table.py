"""Route table, with matching and validation of its routes."""

import math
import types
from collections.abc import Mapping, Sequence

import expression

from umberdrum import accounts, errors
from umberdrum.routetable import _route

# Calls carry these numbers to other daemons in fields of 32 bits.
MAX_FIELD_VALUE = (1 << 32) - 1

NO_COLD_RATES: Mapping[str, float] = types.MappingProxyType({})

TableResult = expression.Result["RouteTable", errors.Failure]


class RouteTable:
    """Immutable set of routes that an operator published under one version.

    A request matches the route of its host with the longest matching path prefix.
    Tables are created only by ``build_table``, so that every table is valid.
    ``health_paths`` maps each service to the path on which its upstreams answer health
    probes, ``cold_rates`` to the requests a second that a cold upstream bears.
    ``accounts`` is None if requests belong to no client accounts.
    """

    def __init__(
        self,
        version: int,
        bounds: _route.CallerBounds,
        routes: Sequence[_route.Route],
        health_paths: Mapping[str, str],
        cold_rates: Mapping[str, float] = NO_COLD_RATES,
        account_table: accounts.AccountTable | None = None,
    ) -> None:
        self.health_paths = dict(health_paths)
        self.cold_rates = dict(cold_rates)
        self.accounts = account_table
        self.version = version
        self.bounds = bounds
        self.routes = tuple(routes)
        self._by_host: dict[str, dict[str, _route.Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> _route.Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, or None.

        Prefixes end with a slash, so only the part of the path up to one of its slashes
        can match. The cost therefore depends on the depth of the path and not on the
        number of routes.
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
    cold_rates: Mapping[str, float] = NO_COLD_RATES,
    account_table: accounts.AccountTable | None = None,
) -> TableResult:
    """Return the table, or a failure that describes the first invalid value."""
    if version < 1:
        return _fail(f"version: expected a positive number, found {version}")
    seen_prefixes: set[tuple[str, str]] = set()
    for route in routes:
        error = _validate_route(route)
        if error:
            return _fail(f"route {route.name!r}: {error}")
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in seen_prefixes:
            return _fail(
                f"route {route.name!r}: expected one route for each prefix, found "
                f"another for {route.host}{route.path_prefix}"
            )
        seen_prefixes.add(host_and_prefix)
    for service, rate in cold_rates.items():
        if not 0 <= rate < math.inf:
            return _fail(
                f"service {service!r}: expected a rate of 0 or more for cold "
                f"upstreams, found {rate}"
            )
    return expression.Ok(
        RouteTable(version, bounds, routes, health_paths, cold_rates, account_table)
    )


def _validate_route(route: _route.Route) -> str:
    """Return a description of the first error, or an empty string if valid."""
    if not route.name.isprintable():
        return "name: expected printable characters"
    if not route.host:
        return "host: expected a name, found nothing"
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        return f"prefix: expected a slash at both ends, found {prefix!r}"
    if not route.shares:
        return "expected a service, found none"
    for share in route.shares:
        # Messages can't carry surrogates, which JSON may hold.
        if not share.service.isprintable():
            return "service: expected printable characters"
        if not share.service or not 0 <= share.weight < math.inf:
            return f"expected a service with a weight of 0 or more, found {share}"
    if sum(share.weight for share in route.shares) <= 0:
        return "expected a positive sum of weights"
    numbers = (
        ("attempts", 1, route.max_attempts),
        ("timeout in ms", 1, route.timeout_ms),
        ("target in ms", 1, route.target_latency_ms),
        ("priority", 0, route.priority),
    )
    for name, lowest, value in numbers:
        if not lowest <= value <= MAX_FIELD_VALUE:
            return f"{name}: expected {lowest} to {MAX_FIELD_VALUE}, found {value}"
    return ""


def _fail(detail: str) -> TableResult:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_ROUTES, detail))
