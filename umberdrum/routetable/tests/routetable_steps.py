"""Steps on route tables."""

import json
import logging
import random

import behave
import expression
from behave import runner

from umberdrum import callpath, classes, errors, logs, routetable

BOUNDS = routetable.CallerBounds(16384, 1 << 20, 3000, 15000)


def build_route(host: str, prefix: str) -> routetable.Route:
    """Return a valid route."""
    return routetable.Route(
        name=host + prefix,
        host=host,
        path_prefix=prefix,
        shares=(routetable.ServiceShare("s", 1.0),),
        is_idempotent=True,
        target_latency_ms=200,
        timeout_ms=500,
        max_attempts=2,
        priority=1,
    )


def read_version(
    document: bytes,
) -> expression.Result[routetable.RouteTable, errors.Failure]:
    """Return a table whose document is only its version."""
    if not document.isdigit():
        return expression.Error(errors.fail(errors.ErrorKind.INVALID_ROUTES, "broken"))
    return routetable.build_table(int(document), BOUNDS, [build_route("h", "/a/")], {})


@behave.given(
    'a table with the routes "{first}" of host "h1" and "{second}" of host "h2"'
)
def build_table(context: runner.Context, first: str, second: str) -> None:
    routes = [build_route("h1", prefix) for prefix in first.split(", ")]
    routes += [build_route("h2", prefix) for prefix in second.split(", ")]
    context.route_table = routetable.build_table(1, BOUNDS, routes, {}).ok


@behave.then('"{host}" with "{path}" belongs to "{name}"')
def check_match(context: runner.Context, host: str, path: str, name: str) -> None:
    found = context.route_table.match(host, path)
    assert (found.name if found else "none") == name, found


@behave.when('a table is checked whose route has "{field}" as {value}')
def check_table(context: runner.Context, field: str, value: str) -> None:
    decoded = json.loads(value)
    changed = tuple(decoded) if isinstance(decoded, list) else decoded
    values = {**build_route("h", "/a/")._asdict(), field: changed}
    route = routetable.Route(**values)
    context.checked = routetable.build_table(1, BOUNDS, [route], {})


@behave.then('it is refused and "{detail}" is named')
def check_refused(context: runner.Context, detail: str) -> None:
    assert context.checked.is_error(), context.checked
    assert detail in context.checked.error.detail, context.checked


@behave.when(
    'documents with the versions "{versions}" come at the revisions "{places}"'
)
def take_documents(context: runner.Context, versions: str, places: str) -> None:
    log = logs.EventLog(logging.Logger("routes"), "d")
    source = routetable.RouteTableSource("config", read_version, log)
    catalog = classes.Catalog()
    for version, revision in zip(versions.split(", "), places.split(", "), strict=True):
        entry = classes.CatalogEntry("config", int(revision), version.encode(), False)
        catalog = catalog.merge([entry])
        source.apply_catalog(catalog)
    context.source = source


@behave.then("version {version:d} is in force")
def check_version(context: runner.Context, version: int) -> None:
    table = context.source.table
    assert (table.version if table else 0) == version, table


@behave.given("a route split 90 to 10 between two services")
def split_route(context: runner.Context) -> None:
    shares = (routetable.ServiceShare("a", 90.0), routetable.ServiceShare("b", 10.0))
    route = build_route("h", "/a/")._replace(shares=shares)
    log = logs.EventLog(logging.Logger("routes"), "d")

    def read(
        document: bytes,
    ) -> expression.Result[routetable.RouteTable, errors.Failure]:
        return routetable.build_table(1, BOUNDS, [route], {})

    source = routetable.RouteTableSource("config", read, log)
    entry = classes.CatalogEntry("config", 1, b"x", False)
    source.apply_catalog(classes.Catalog().merge([entry]))
    context.matcher = callpath.RouteMatcher(source, random.Random(4))


@behave.when("{n_calls:d} calls are matched")
def match_calls(context: runner.Context, n_calls: int) -> None:
    fields = callpath.read_call_fields([(b"host", b"h")]).ok
    context.services = []
    for _ in range(n_calls):
        row = context.matcher.match(fields, "GET", b"/a/1?x=2").ok
        context.services.append(row.request_class.service)


@behave.then("the larger part gets {low:d} to {high:d} % of them")
def check_parts(context: runner.Context, low: int, high: int) -> None:
    share = 100 * context.services.count("a") / len(context.services)
    assert low <= share <= high, share
