"""Fake upstream: records the requests that it runs and injects faults on demand."""

import json
import math

import h11
import trio

from umberdrum import settings, sockets
from umberdrum_bench import http_server

N_MISSING_LONG_BYTES = 1 << 20
LATE_BODY_SECONDS = 0.1
HANG_SECONDS = 100_000.0


class FakeUpstream:
    """Upstream that records the requests that it runs and injects faults on demand.

    The header ``x-fault`` of a request selects the fault: ``hang``,
    ``close-before-answer``, ``close-in-answer``, ``close-in-long`` (an answer too long
    to be buffered whole), ``late-body`` (0.1 s after the head), ``stalled-body`` (never
    sent after the head), ``garbage``, ``slow`` (two seconds), ``error`` or ``shed``. A
    ``constant_fault`` overrides the header for all requests. ``idle_timeout_seconds``
    closes a connection that was idle for longer, but only when the next request
    arrives, without an answer.
    """

    def __init__(self, address: settings.Address) -> None:
        self.address = address
        self.begun: list[str] = []
        self.ended: list[str] = []
        self.cancelled: list[str] = []
        self.seen_headers: list[dict[str, str]] = []
        self.service_seconds = 0.01
        self.constant_fault = ""
        self.state = "serving"
        self.idle_timeout_seconds = math.inf
        self.n_running = 0
        self.max_running = 0
        self.serve_connection = self._serve_requests

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve one connection by ``serve_connection``, which a test may replace."""
        await self.serve_connection(connection)

    async def _serve_requests(self, connection: sockets.Connection) -> None:
        """Serve requests until the connection closes or a fault closes it."""
        http = h11.Connection(h11.SERVER)
        idle_since = trio.current_time()
        while True:
            head = await http_server.receive_event(connection, http)
            idle_seconds = trio.current_time() - idle_since
            if (
                not isinstance(head, h11.Request)
                or idle_seconds > self.idle_timeout_seconds
            ):
                return
            request_headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
            self.seen_headers.append(request_headers)
            nonce = request_headers.get("x-nonce", "-")
            self.begun.append(nonce)
            n_bytes = 0
            while isinstance(
                event := await http_server.receive_event(connection, http), h11.Data
            ):
                n_bytes += len(event.data)
            if not isinstance(event, h11.EndOfMessage):
                self.cancelled.append(nonce)
                return
            self.n_running += 1
            self.max_running = max(self.max_running, self.n_running)
            try:
                is_open = await self._answer(
                    connection, http, request_headers, nonce, n_bytes
                )
            finally:
                self.n_running -= 1
            if not is_open or http.our_state is not h11.DONE:
                return
            http.start_next_cycle()
            idle_since = trio.current_time()

    async def _answer(
        self,
        connection: sockets.Connection,
        http: h11.Connection,
        request_headers: dict[str, str],
        nonce: str,
        n_bytes: int,
    ) -> bool:
        fault = self.constant_fault or request_headers.get("x-fault", "")
        seconds = 2.0 if fault == "slow" else self.service_seconds
        if fault == "hang":
            seconds = HANG_SECONDS
        if not await self._wait_service_time(connection, seconds):
            self.cancelled.append(nonce)
            return False
        if fault == "close-before-answer":
            return False
        if fault == "garbage":
            await connection.send(b"this is not HTTP\r\n\r\n")
            return False
        self.ended.append(nonce)
        body = json.dumps({"nonce": nonce, "n_bytes": n_bytes}).encode()
        n_missing = {"close-in-answer": 10, "close-in-long": N_MISSING_LONG_BYTES}
        n_declared_bytes = len(body) + n_missing.get(fault, 0)
        statuses = {"error": 500, "shed": 503}
        response = h11.Response(
            status_code=statuses.get(fault, 200),
            headers=[
                ("content-length", str(n_declared_bytes)),
                ("umberdrum-request-id", request_headers["umberdrum-request-id"]),
            ],
        )
        data = http.send(response) or b""
        if fault == "late-body":
            await connection.send(data)
            await trio.sleep(LATE_BODY_SECONDS)
            data = b""
        if fault == "stalled-body":
            await connection.send(data)
            await self._wait_service_time(connection, HANG_SECONDS)
            return False
        data += http.send(h11.Data(data=body)) or b""
        if fault in n_missing:
            await connection.send(data)
            return False
        await connection.send(data + (http.send(h11.EndOfMessage()) or b""))
        return True

    async def _wait_service_time(
        self, connection: sockets.Connection, seconds: float
    ) -> bool:
        """Wait for the service time; return False if the daemon disconnects."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(min(0.1, until - trio.current_time()))
            if connection.is_lost():
                return False
        return True
