"""HTTP/1.1 on the serving side, for stand-ins."""

import json
from collections.abc import Mapping

import h11

from umberdrum import sockets


async def receive_event(connection: sockets.Connection, http: h11.Connection) -> object:
    """Return the next event of the other side."""
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        http.receive_data(await connection.receive())


async def receive_body(connection: sockets.Connection, http: h11.Connection) -> bytes:
    """Return the whole body of the request whose head was received."""
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
) -> None:
    """Send a whole answer with a JSON body."""
    body = json.dumps(value).encode()
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
    ]
    data = http.send(h11.Response(status_code=status, headers=headers)) or b""
    data += http.send(h11.Data(data=body)) or b""
    data += http.send(h11.EndOfMessage()) or b""
    await connection.send(data)
