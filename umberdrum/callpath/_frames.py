"""Conversion between call path types and the heads of peer protocol frames."""

import math
from typing import TypeVar

from google.protobuf import message as protobuf_message

from umberdrum import errors, outcomes, peerlink, routing, wire
from umberdrum.callpath import _call

_Message = TypeVar("_Message", bound=protobuf_message.Message)

MS_PER_SECOND = 1000.0
US_PER_SECOND = 1_000_000.0
PERCENT = 100.0


def encode_call(
    call: _call.Call, process_id: int, is_complete: bool, now: float
) -> bytes:
    """Return the head of a call frame for the daemon with ``process_id``."""
    remaining_ms = max(1, int((call.deadline - now) * MS_PER_SECOND))
    has_length = call.content_length is not None
    message = wire.messages.CallHead(
        request_id=call.request_id,
        target_process_id=process_id,
        class_name=call.class_name,
        method=call.method,
        target=call.target,
        headers=_encode_headers(call.headers),
        deadline_ms=remaining_ms,
        attempts_left=call.n_extra_attempts,
        is_idempotent=call.is_idempotent,
        is_body_complete=is_complete,
        target_latency_ms=call.target_latency_ms,
        max_queue_ms=call.max_queue_ms,
        content_length=call.content_length or 0,
        has_content_length=has_length,
        service=call.service,
        priority=call.priority,
        target_remaining_ms=max(0, int((call.target_at - now) * MS_PER_SECOND)),
        is_last_resort=call.is_last_resort,
        is_hedge=call.is_hedge,
        account=call.account,
        account_weight=call.account_weight,
    )
    if call.notice is not None:
        _encode_notice(message.notice, call.notice)
    return message.SerializeToString()


def decode_call(head: wire.messages.CallHead, now: float) -> _call.Call:
    """Return the call that a frame describes; its deadline counts from ``now``."""
    return _call.Call(
        request_id=head.request_id,
        class_name=head.class_name,
        method=head.method,
        target=head.target,
        headers=[(field.name, field.value) for field in head.headers],
        deadline=now + head.deadline_ms / MS_PER_SECOND,
        n_extra_attempts=head.attempts_left,
        is_idempotent=head.is_idempotent,
        target_latency_ms=max(1, head.target_latency_ms),
        max_queue_ms=head.max_queue_ms,
        content_length=head.content_length if head.has_content_length else None,
        service=head.service,
        priority=head.priority,
        target_at=now + head.target_remaining_ms / MS_PER_SECOND,
        is_last_resort=head.is_last_resort,
        is_hedge=head.is_hedge,
        notice=_decode_notice(head.notice) if head.HasField("notice") else None,
        account=head.account,
        account_weight=head.account_weight,
    )


def encode_response(
    request_id: str,
    head: _call.HttpResponseHead,
    report: _call.CallReport,
    is_complete: bool,
) -> bytes:
    """Return the head of a response frame."""
    message = wire.messages.ResponseHead(
        status=head.status,
        reason=head.reason,
        headers=_encode_headers(head.headers),
        is_body_complete=is_complete,
        upstream_time_us=int(report.upstream_seconds * US_PER_SECOND),
        queue_time_us=int(report.queue_seconds * US_PER_SECOND),
        request_id=request_id,
        start_pace_percent=int(report.start_pace * PERCENT),
    )
    if report.load is not None:
        _encode_load(message.load, report.load)
    if report.notice is not None:
        _encode_notice(message.notice, report.notice)
    return message.SerializeToString()


def decode_response_head(message: wire.messages.ResponseHead) -> _call.HttpResponseHead:
    """Return the head of an upstream's response."""
    headers = [(field.name, field.value) for field in message.headers]
    return _call.HttpResponseHead(message.status, message.reason, headers)


def decode_report(message: wire.messages.ResponseHead) -> _call.CallReport:
    """Return the endpoint daemon's report on the call."""
    load = None
    if message.HasField("load"):
        load = decode_load(message.load)
    return _call.CallReport(
        message.status,
        message.upstream_time_us / US_PER_SECOND,
        message.queue_time_us / US_PER_SECOND,
        load,
        message.start_pace_percent / PERCENT or 1.0,
        _decode_notice(message.notice) if message.HasField("notice") else None,
    )


def encode_refusal(
    request_id: str, failure: errors.Failure, load: routing.LoadReport | None
) -> bytes:
    """Return the head of a refusal or abort frame."""
    message = wire.messages.Refusal(
        kind=failure.kind,
        execution=failure.execution,
        detail=failure.detail,
        retry_after_ms=failure.retry_after_ms,
        request_id=request_id,
    )
    if load is not None:
        _encode_load(message.load, load)
    return message.SerializeToString()


def decode_refusal(message: wire.messages.Refusal) -> errors.Failure:
    """Return the failure in a refusal.

    Kinds that only newer daemons know are returned as ``INTERNAL``, unknown execution
    states as ``MAY_HAVE_RUN``.
    """
    try:
        kind = errors.ErrorKind(message.kind)
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    try:
        execution = errors.Execution(message.execution)
    except ValueError:
        execution = errors.Execution.MAY_HAVE_RUN
    return errors.Failure(kind, execution, message.detail, message.retry_after_ms)


def decode_refusal_load(message: wire.messages.Refusal) -> routing.LoadReport | None:
    """Return the load report in a refusal, None if it has none."""
    if not message.HasField("load"):
        return None
    return decode_load(message.load)


def encode_outcome(request_id: str, report: outcomes.OutcomeReport) -> bytes:
    """Return the head of an outcome frame."""
    return wire.messages.Outcome(
        execution=report.execution,
        is_running=report.is_running,
        has_answer=report.response is not None,
        request_id=request_id,
    ).SerializeToString()


def parse_head(message_type: type[_Message], frame: peerlink.Frame) -> _Message:
    """Return the decoded head of ``frame``; raises ``FrameError`` if malformed."""
    try:
        return message_type.FromString(frame.head)
    except protobuf_message.DecodeError as fault:
        raise peerlink.FrameError(f"{frame.kind.name}: {fault}") from None


def _encode_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[wire.messages.Header]:
    header_type = wire.messages.Header
    return [header_type(name=name, value=value) for name, value in headers]


def encode_load(load: routing.LoadReport) -> wire.messages.LoadReport:
    """Return the message of a load report."""
    message = wire.messages.LoadReport()
    _encode_load(message, load)
    return message


def _encode_load(message: wire.messages.LoadReport, load: routing.LoadReport) -> None:
    message.n_running = load.n_running
    message.n_queued = load.n_queued
    message.slot_limit = load.slot_limit
    message.pace_percent = int(load.pace * PERCENT)
    message.limit_wait_ms = math.ceil(load.limit_wait_seconds * MS_PER_SECOND)


def decode_load(load: wire.messages.LoadReport) -> routing.LoadReport:
    """Return the load report in a message."""
    pace = load.pace_percent / PERCENT or 1.0
    return routing.LoadReport(
        load.n_running,
        load.n_queued,
        load.slot_limit,
        pace,
        load.limit_wait_ms / MS_PER_SECOND,
    )


def _encode_notice(
    message: wire.messages.UpstreamNotice, notice: _call.UpstreamNotice
) -> None:
    message.run = notice.run
    message.has_rate_limit = notice.rate_limit is not None
    message.rate_limit = notice.rate_limit or 0.0
    message.is_leaving = notice.is_leaving


def _decode_notice(message: wire.messages.UpstreamNotice) -> _call.UpstreamNotice:
    rate_limit = message.rate_limit if message.has_rate_limit else None
    return _call.UpstreamNotice(message.run, rate_limit, message.is_leaving)
