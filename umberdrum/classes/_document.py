"""Stored form of a class: a JSON document under a key of its own in the store."""

import json
from typing import TypedDict

import expression

from umberdrum import errors
from umberdrum.classes import _request_class

FORMAT_VERSION = 1
MAX_DOCUMENT_BYTES = 4096


class ClassDocument(TypedDict):
    """Fields of the stored JSON document; readers ignore unknown fields."""

    format: int
    name: str
    service: str
    methods: list[str]
    path: str
    idempotent: bool
    latency_ms: int
    percentile: float
    change_id: str


def encode_document(request_class: _request_class.RequestClass) -> bytes:
    """Return the class as a compact JSON document."""
    document: ClassDocument = {
        "format": FORMAT_VERSION,
        "name": request_class.name,
        "service": request_class.service,
        "methods": list(request_class.methods),
        "path": request_class.path_prefix,
        "idempotent": request_class.is_idempotent,
        "latency_ms": request_class.target.latency_ms,
        "percentile": request_class.target.percentile,
        "change_id": request_class.change_id,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_document(
    raw: bytes,
) -> expression.Result[_request_class.RequestClass, errors.Failure]:
    """Return the validated class in ``raw``, or an ``INVALID_CLASS`` failure."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        return _build_error_result(
            f"expected at most {MAX_DOCUMENT_BYTES} bytes, found {len(raw)}"
        )
    try:
        document: ClassDocument = json.loads(raw)
        request_class = _request_class.RequestClass(
            name=str(document["name"]),
            service=str(document["service"]),
            methods=tuple(str(method) for method in document["methods"]),
            path_prefix=str(document["path"]),
            is_idempotent=document["idempotent"] is True,
            target=_request_class.Target(
                int(document["latency_ms"]), float(document["percentile"])
            ),
            change_id=str(document["change_id"]),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as fault:
        return _build_error_result(
            f"expected a class document, decoding failed with {fault!r}"
        )
    return _request_class.check_class(request_class)


def _build_error_result(
    detail: str,
) -> expression.Result[_request_class.RequestClass, errors.Failure]:
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
