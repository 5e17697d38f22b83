"""JSON over HTTP/1.1, as the store and the daemons' admin addresses speak it."""

from umberdrum.jsonclient._client import (
    AnswerResult,
    FailureKinds,
    JsonAnswer,
    JsonClient,
    JsonObject,
    JsonResult,
    JsonStream,
)

__all__ = [
    "AnswerResult",
    "FailureKinds",
    "JsonAnswer",
    "JsonClient",
    "JsonObject",
    "JsonResult",
    "JsonStream",
]
