"""Client for JSON over HTTP/1.1, used for the store and for admin addresses."""

from umberdrum.jsonclient._client import (
    FailureKinds,
    JsonClient,
    JsonObject,
    JsonResponse,
    JsonResult,
    JsonStream,
    RepeatedExchange,
    ResponseResult,
)

__all__ = [
    "FailureKinds",
    "JsonClient",
    "JsonObject",
    "JsonResponse",
    "JsonResult",
    "JsonStream",
    "RepeatedExchange",
    "ResponseResult",
]
