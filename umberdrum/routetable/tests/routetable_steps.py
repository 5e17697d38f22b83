"""Steps for route tables."""

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


def decode_version(
    document: bytes,
) -> expression.Result[routetable.RouteTable, errors.Failure]:
    """Decode a document that contains only the version of the table."""
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


@behave.then('host "{host}" and path "{path}" match the route "{name}"')
def check_match(context: runner.Context, host: str, path: str, name: str) -> None:
    route = context.route_table.match(host, path)
    assert (route.name if route else "none") == name, route


@behave.when('a table is built from a route whose "{field}" is {value}')
def build_invalid_table(context: runner.Context, field: str, value: str) -> None:
    json_value = json.loads(value)
    field_value = tuple(json_value) if isinstance(json_value, list) else json_value
    values = {**build_route("h", "/a/")._asdict(), field: field_value}
    route = routetable.Route(**values)
    context.build_result = routetable.build_table(1, BOUNDS, [route], {})


@behave.then('it is rejected and the error contains "{detail}"')
def check_rejected(context: runner.Context, detail: str) -> None:
    assert context.build_result.is_error(), context.build_result
    assert detail in context.build_result.error.detail, context.build_result


@behave.when(
    'documents with the versions "{versions}" arrive at the revisions "{revisions}"'
)
def apply_documents(context: runner.Context, versions: str, revisions: str) -> None:
    log = logs.EventLog(logging.Logger("routes"), "d")
    source = routetable.RouteTableSource("config", decode_version, log)
    catalog = classes.Catalog()
    for version, revision in zip(
        versions.split(", "), revisions.split(", "), strict=True
    ):
        entry = classes.CatalogEntry("config", int(revision), version.encode(), False)
        catalog = catalog.merge([entry])
        source.apply_catalog(catalog)
    context.source = source


@behave.then("version {version:d} is active")
def check_version(context: runner.Context, version: int) -> None:
    table = context.source.table
    assert (table.version if table else 0) == version, table


@behave.given("a route split 90 to 10 between two services")
def split_route(context: runner.Context) -> None:
    shares = (routetable.ServiceShare("a", 90.0), routetable.ServiceShare("b", 10.0))
    route = build_route("h", "/a/")._replace(shares=shares)
    log = logs.EventLog(logging.Logger("routes"), "d")

    def decode(
        document: bytes,
    ) -> expression.Result[routetable.RouteTable, errors.Failure]:
        return routetable.build_table(1, BOUNDS, [route], {})

    source = routetable.RouteTableSource("config", decode, log)
    entry = classes.CatalogEntry("config", 1, b"x", False)
    source.apply_catalog(classes.Catalog().merge([entry]))
    context.matcher = callpath.RouteMatcher(source, random.Random(4), lambda: False)


@behave.when("{n_calls:d} calls are matched")
def match_calls(context: runner.Context, n_calls: int) -> None:
    fields = callpath.read_call_fields([(b"host", b"h")]).ok
    context.services = []
    for _ in range(n_calls):
        catalog_row = context.matcher.match(fields, "GET", b"/a/1?x=2").ok
        context.services.append(catalog_row.request_class.service)


@behave.then("the service with the larger weight gets {low:d} to {high:d} % of them")
def check_split(context: runner.Context, low: int, high: int) -> None:
    share = 100 * context.services.count("a") / len(context.services)
    assert low <= share <= high, share
