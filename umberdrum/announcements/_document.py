"""Parser of the JSON document that an upstream sends."""

import json
import re
from typing import TypedDict

import expression

from umberdrum import callpath, errors, settings

MAX_SLOTS = 10_000
SERVICE_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")
STATES = {
    "starting": callpath.EndpointState.STARTING,
    "serving": callpath.EndpointState.SERVING,
    "draining": callpath.EndpointState.DRAINING,
}

AnnouncementResult = expression.Result[callpath.UpstreamAnnouncement, errors.Failure]


class AnnouncementDocument(TypedDict, total=False):
    """Fields of an announcement; all except ``load_path`` are required."""

    service: str
    address: str
    slots: int
    state: str
    load_path: str


def parse_announcement(raw: bytes) -> AnnouncementResult:
    """Return the announcement, or a failure that names the first invalid field."""
    try:
        document: AnnouncementDocument = json.loads(raw)
    except (ValueError, RecursionError) as fault:
        return _reject(f"expected a JSON object, found a fault: {fault}")
    if not isinstance(document, dict):
        return _reject("expected a JSON object")
    unknown = sorted(set(document) - set(AnnouncementDocument.__annotations__))
    if unknown:
        return _reject(f"expected no other fields, found {unknown[0]!r}")
    service = document.get("service")
    if not isinstance(service, str) or not SERVICE_PATTERN.fullmatch(service):
        return _reject(f"service: expected a service name, found {service!r}")
    try:
        address = settings.parse_address(str(document.get("address", "")))
    except ValueError as fault:
        return _reject(f"address: expected {fault}")
    n_slots = document.get("slots")
    is_number = isinstance(n_slots, int) and not isinstance(n_slots, bool)
    if not is_number or n_slots is None or not 1 <= n_slots <= MAX_SLOTS:
        return _reject(f"slots: expected 1 to {MAX_SLOTS}, found {n_slots!r}")
    state = STATES.get(str(document.get("state")))
    if state is None:
        names = ", ".join(STATES)
        return _reject(
            f"state: expected one of {names}, found {document.get('state')!r}"
        )
    load_path = document.get("load_path", "")
    if not isinstance(load_path, str) or (load_path and not load_path.startswith("/")):
        return _reject(f"load_path: expected a path from '/', found {load_path!r}")
    return expression.Ok(
        callpath.UpstreamAnnouncement(service, address, n_slots, state, load_path)
    )


def _reject(detail: str) -> AnnouncementResult:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_ANNOUNCEMENT, detail))
