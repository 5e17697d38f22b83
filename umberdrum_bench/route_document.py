"""Route table as a JSON document, for daemons with routes but the own protocols."""

import json
from typing import NamedTuple

import expression

from umberdrum import configuration, errors, routetable

STORE_PREFIX = "umberdrum"
# Below the prefix of the operators' documents, beside classes and zone drains.
DOCUMENT_NAME = "routes"
BOUNDS = routetable.CallerBounds(16_384, 1 << 20, 3000, 60_000)
TARGET_MS = 500
TIMEOUT_MS = 2000
MAX_ATTEMPTS = 3


class DocumentRoute(NamedTuple):
    """Route of a document; the service's name is also the host of its requests."""

    service: str
    path_prefix: str
    is_idempotent: bool


def build_key() -> str:
    """Return the key of the document in the store, ``umberdrum/classes/routes``."""
    return configuration.build_documents_prefix(STORE_PREFIX) + DOCUMENT_NAME


def encode_document(version: int, routes: list[DocumentRoute]) -> bytes:
    """Return the document of a table."""
    return json.dumps({"version": version, "routes": routes}).encode()


def decode_table(
    document: bytes,
) -> expression.Result[routetable.RouteTable, errors.Failure]:
    """Return the table, or a failure that describes the error in the document."""
    try:
        table = json.loads(document)
        routes = [_build_route(DocumentRoute(*row)) for row in table["routes"]]
        version = int(table["version"])
    except (ValueError, KeyError, TypeError) as fault:
        return expression.Error(
            errors.fail(errors.ErrorKind.INVALID_ROUTES, f"routes: {fault!r}")
        )
    return routetable.build_table(version, BOUNDS, routes, {})


def _build_route(route: DocumentRoute) -> routetable.Route:
    return routetable.Route(
        name=route.service + route.path_prefix,
        host=route.service,
        path_prefix=route.path_prefix,
        shares=(routetable.ServiceShare(route.service, 1.0),),
        is_idempotent=route.is_idempotent,
        target_latency_ms=TARGET_MS,
        timeout_ms=TIMEOUT_MS,
        max_attempts=MAX_ATTEMPTS,
        priority=0,
    )
