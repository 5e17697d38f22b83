"""Server side of HTTP/1.1 for stand-ins, on top of h11."""

import json
from collections.abc import Mapping, Sequence

import h11

from umberdrum import sockets


async def receive_event(connection: sockets.Connection, http: h11.Connection) -> object:
    """Return the next h11 event of the peer; reads from the connection as needed."""
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        http.receive_data(await connection.receive())


async def receive_body(connection: sockets.Connection, http: h11.Connection) -> bytes:
    """Return the complete body of the request whose head was received."""
    parts: list[bytes] = []
    while True:
        event = await receive_event(connection, http)
        if not isinstance(event, h11.Data):
            return b"".join(parts)
        parts.append(bytes(event.data))


async def send_json(
    connection: sockets.Connection,
    http: h11.Connection,
    value: Mapping[str, object],
    status: int = 200,
    extra_headers: Sequence[tuple[str, str]] = (),
) -> None:
    """Send a complete answer with a JSON body."""
    await send_json_text(connection, http, json.dumps(value), status, extra_headers)


async def send_json_text(
    connection: sockets.Connection,
    http: h11.Connection,
    text: str,
    status: int = 200,
    extra_headers: Sequence[tuple[str, str]] = (),
) -> None:
    """Send a complete answer with a body of JSON text, which need not be valid."""
    body = text.encode()
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        *extra_headers,
    ]
    data = http.send(h11.Response(status_code=status, headers=headers)) or b""
    data += http.send(h11.Data(data=body)) or b""
    data += http.send(h11.EndOfMessage()) or b""
    await connection.send(data)
