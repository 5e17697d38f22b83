"""Upstream stand-in: an HTTP server with slots and simulated service times.

It records the start and the end of each request in a file.
"""

import argparse
import gc
import hashlib
import json
import os
import random
import signal
import sys
from collections.abc import Sequence
from typing import NamedTuple

import h11
import trio

from umberdrum import settings, sockets
from umberdrum_bench import http_server

ANNOUNCE_INTERVAL_SECONDS = 0.5
# A request with this body ends the process that runs it.
CRASH_BODY = b"a request that ends its upstream"
CRASH_SECONDS = 0.02
CRASH_EXIT_CODE = 70
MAX_CONNECTIONS = 1000
GC_THRESHOLDS = (50_000, 20, 50)


class ServiceTime(NamedTuple):
    """Mean service time in seconds of the requests with a path prefix."""

    path_prefix: str
    mean_seconds: float


SERVICE_TIMES = (
    ServiceTime("/cards", 0.002),
    ServiceTime("/accounts", 0.002),
    ServiceTime("/payments", 0.008),
    ServiceTime("/transfers", 0.008),
    ServiceTime("/photos", 0.02),
    ServiceTime("/statements", 0.05),
    ServiceTime("/checks", 0.001),
    ServiceTime("/", 0.0),
)


class UpstreamOptions(NamedTuple):
    """Options of one upstream stand-in.

    A ``mean_seconds`` other than 0 replaces the mean service time of all paths. With
    ``is_instant``, requests take no time and no slot.
    """

    listen: settings.Address
    announce: settings.Address | None
    service: str
    n_slots: int
    record_path: str
    seed: int
    is_instant: bool
    mean_seconds: float


class UpstreamStandIn:
    """Serves calls, at most ``n_slots`` at a time, and records each one.

    The record is a file with one line per begin, end and cut of a request. Lines are
    written unbuffered, so that they survive a SIGKILL. ``POST /standin/slow`` with
    ``{"factor": 10}`` multiplies the service times, ``{"fail": true}`` answers every
    call with status 500 immediately. ``{"rate_limit": "10"}`` names a rate limit in all
    responses, an empty one ends it. ``{"leaving": true}`` says in all responses that
    the upstream leaves, and ends its announcements.
    """

    def __init__(self, options: UpstreamOptions) -> None:
        self._options = options
        self._slots = trio.CapacityLimiter(options.n_slots)
        self._rng = random.Random(options.seed)
        self._record_fd = -1
        if options.record_path:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._record_fd = os.open(options.record_path, flags, 0o644)
        self.state = "serving"
        self.slow_factor = 1.0
        self.is_failing = False
        self.is_leaving = False
        self.rate_limit = ""
        self.n_running = 0

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve requests of one connection until it closes."""
        http = h11.Connection(h11.SERVER)
        while True:
            head = await http_server.receive_event(connection, http)
            if not isinstance(head, h11.Request):
                return
            await self._serve_request(connection, http, head)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def announce_forever(self) -> None:
        """Announce this upstream to its daemon periodically until cancelled."""
        while True:
            if not self.is_leaving:
                await self.announce_once()
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def announce_once(self) -> None:
        """Send one announcement; connection errors are ignored."""
        announce = self._options.announce
        if announce is None:
            return
        document = {
            "service": self._options.service,
            "address": str(self._options.listen),
            "slots": self._options.n_slots,
            "state": self.state,
        }
        body = json.dumps(document).encode()
        request = (
            f"PUT /v1/upstream HTTP/1.1\r\nhost: {announce}\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        ).encode() + body
        try:
            connection = await sockets.connect(announce, 0.5)
        except sockets.ConnectionLostError:
            return
        try:
            with trio.move_on_after(0.5):
                await connection.send(request)
                while await connection.receive():
                    pass
        except sockets.ConnectionLostError:
            return
        finally:
            connection.close()

    async def handle_signals(self, scope: trio.CancelScope) -> None:
        """Announce the state ``draining`` on SIGUSR1; cancel ``scope`` on SIGTERM."""
        expected = (signal.SIGTERM, signal.SIGUSR1)
        with trio.open_signal_receiver(*expected) as received:
            async for number in received:
                if number == signal.SIGTERM:
                    scope.cancel()
                    return
                self.state = "draining"
                await self.announce_once()

    async def _serve_request(
        self, connection: sockets.Connection, http: h11.Connection, head: h11.Request
    ) -> None:
        path = bytes(head.target).decode("latin-1")
        request_id = _find_header(head, b"umberdrum-request-id") or "-"
        nonce = _find_header(head, b"x-nonce") or "-"
        is_control = path.startswith("/standin/")
        if not is_control:
            self._write_record("begin", request_id, nonce)
        hasher = hashlib.sha256()
        raw = b""
        n_bytes = 0
        while True:
            event = await http_server.receive_event(connection, http)
            if not isinstance(event, h11.Data):
                break
            hasher.update(event.data)
            n_bytes += len(event.data)
            if is_control or n_bytes <= len(CRASH_BODY):
                raw += bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            self._write_record("cut", request_id, nonce)
            return
        if is_control:
            self._set_faults(json.loads(raw or b"{}"))
            await http_server.send_json(connection, http, {})
            return
        if raw == CRASH_BODY:
            await trio.sleep(CRASH_SECONDS)
            os._exit(CRASH_EXIT_CODE)
        echo = [("umberdrum-request-id", request_id), *self._list_notices()]
        if self.is_failing:
            self._write_record("end", request_id, nonce)
            body = {"error": "failing"}
            await http_server.send_json(connection, http, body, 500, echo)
            return
        await self._simulate_work(path)
        answer = {"nonce": nonce, "n_bytes": n_bytes, "sha256": hasher.hexdigest()}
        self._write_record("end", request_id, nonce)
        await http_server.send_json(connection, http, answer, 200, echo)

    async def _simulate_work(self, path: str) -> None:
        if self._options.is_instant:
            return
        async with self._slots:
            self.n_running += 1
            try:
                mean_seconds = self._options.mean_seconds
                mean_seconds = mean_seconds or _find_mean_seconds(path)
                seconds = self._rng.lognormvariate(0.0, 0.25) * mean_seconds
                await trio.sleep(seconds * self.slow_factor)
            finally:
                self.n_running -= 1

    def _list_notices(self) -> list[tuple[str, str]]:
        """Return the header fields in which the upstream speaks of itself."""
        notices: list[tuple[str, str]] = []
        if self.rate_limit:
            notices.append(("umberdrum-rate-limit", self.rate_limit))
        if self.is_leaving:
            notices.append(("umberdrum-leaving", "1"))
        return notices

    def _set_faults(self, body: dict[str, object]) -> None:
        self.slow_factor = float(str(body.get("factor", self.slow_factor)))
        self.is_failing = bool(body.get("fail", self.is_failing))
        self.is_leaving = bool(body.get("leaving", self.is_leaving))
        self.rate_limit = str(body.get("rate_limit", self.rate_limit))

    def _write_record(self, event: str, request_id: str, nonce: str) -> None:
        if self._record_fd >= 0:
            os.write(self._record_fd, f"{event} {request_id} {nonce}\n".encode())


def _find_header(head: h11.Request, expected: bytes) -> str:
    for name, value in head.headers:
        if name == expected:
            return value.decode("latin-1")
    return ""


def _find_mean_seconds(path: str) -> float:
    for kind in SERVICE_TIMES:
        if path.startswith(kind.path_prefix):
            return kind.mean_seconds
    return 0.0


async def run_upstream(options: UpstreamOptions) -> None:
    """Serve until SIGTERM."""
    standin = UpstreamStandIn(options)
    listener = sockets.bind_tcp(options.listen)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standin.handle_signals, nursery.cancel_scope)
        nursery.start_soon(standin.announce_forever)
        nursery.start_soon(
            sockets.accept_connections, listener, standin.serve, MAX_CONNECTIONS
        )


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run the upstream stand-in as a process."""
    parser = argparse.ArgumentParser(prog="umberdrum-upstream-standin")
    parser.add_argument("--listen", required=True, type=settings.parse_address)
    parser.add_argument("--announce", type=settings.parse_address)
    parser.add_argument("--service", default="cards")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--record", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mean-ms", type=float, default=0.0)
    parser.add_argument("--instant", action="store_true")
    options = parser.parse_args(arguments)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    trio.run(
        run_upstream,
        UpstreamOptions(
            options.listen,
            options.announce,
            options.service,
            options.slots,
            options.record,
            options.seed,
            options.instant,
            options.mean_ms / 1000.0,
        ),
    )
    return 0


if __name__ == "__main__":
    sys.exit(run_program())
