"""JSON over HTTP/1.1, as the store and the daemons' admin addresses speak it."""

from umberdrum.jsonclient._client import (
    FailureKinds,
    JsonClient,
    JsonObject,
    JsonResponse,
    JsonResult,
    JsonStream,
    ResponseResult,
)

__all__ = [
    "FailureKinds",
    "JsonClient",
    "JsonObject",
    "JsonResponse",
    "JsonResult",
    "JsonStream",
    "ResponseResult",
]
