"""Conversion between endpoint records and their protobuf messages."""

import expression

from umberdrum import errors, settings, wire
from umberdrum.membership import _record

MAX_NAME_CHARS = 64


def encode_record(record: _record.EndpointRecord) -> wire.messages.EndpointRecord:
    """Convert ``record`` to its protobuf message."""
    return wire.messages.EndpointRecord(
        endpoint_id=record.endpoint_id,
        incarnation=record.incarnation,
        process_id=record.process_id,
        version=record.version,
        state=int(record.state),
        is_suspected=record.is_suspected,
        service=record.service,
        availability_zone=record.availability_zone,
        region=record.region,
        n_slots=record.n_slots,
        is_contact=record.is_contact,
        is_final=record.is_final,
        ended_run=record.ended_run,
    )


def decode_record(
    message: wire.messages.EndpointRecord,
) -> expression.Result[_record.EndpointRecord, errors.Failure]:
    """Parse ``message``, or return a failure that describes the invalid field."""
    try:
        address = settings.parse_address(message.endpoint_id)
    except ValueError as fault:
        return _reject(f"endpoint_id: expected {fault}")
    if not address.is_reachable:
        return _reject(f"endpoint_id: expected a host and a port, found {address}")
    try:
        state = _record.RecordState(message.state)
    except ValueError:
        return _reject(f"state: expected a known state, found {message.state}")
    for name in (message.service, message.availability_zone, message.region):
        if len(name) > MAX_NAME_CHARS:
            return _reject(f"expected a name of at most {MAX_NAME_CHARS} characters")
    record = _record.EndpointRecord(
        endpoint_id=message.endpoint_id,
        incarnation=message.incarnation,
        process_id=message.process_id,
        version=message.version,
        state=state,
        is_suspected=message.is_suspected,
        service=message.service,
        availability_zone=message.availability_zone,
        region=message.region,
        n_slots=message.n_slots,
        is_contact=message.is_contact,
        is_final=message.is_final,
        ended_run=message.ended_run,
    )
    return expression.Ok(record)


def _reject(detail: str) -> expression.Result[_record.EndpointRecord, errors.Failure]:
    failure = errors.fail(errors.ErrorKind.PEER_NOT_AUTHENTIC, detail)
    return expression.Error(failure)
