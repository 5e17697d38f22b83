"""Steps for the server of the control addresses."""

import behave
import trio
from behave import runner

from umberdrum import controlhttp, sockets
from umberdrum.tests import harness

# Longer than what the kernel buffers for a client that reads nothing.
RESPONSE_BYTES = 24 << 20
REQUEST = b"GET / HTTP/1.1\r\nhost: admin\r\nconnection: close\r\n\r\n"
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_WAIT_SECONDS = 600.0


async def _send_long_response(
    _request: controlhttp.ControlRequest,
) -> controlhttp.ControlResponse:
    return controlhttp.build_text_response("x" * RESPONSE_BYTES)


@behave.given("a control server for {n_max:d} connections that sends long responses")
def set_n_connections(context: runner.Context, n_max: int) -> None:
    context.n_max = n_max


@behave.when(
    "a client that reads nothing sends a request every {seconds:d} s, {n_times:d} times"
)
def send_without_reading(context: runner.Context, seconds: int, n_times: int) -> None:
    async def run() -> None:
        address = harness.find_free_address()
        server = controlhttp.ControlServer(_send_long_response)
        listener = sockets.bind_tcp(address)
        silent: list[sockets.Connection] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.accept, listener, context.n_max)
            for _ in range(n_times):
                silent.append(await sockets.connect(address, CONNECT_TIMEOUT_SECONDS))
                await silent[-1].send(REQUEST)
                await trio.sleep(seconds)
            began_at = trio.current_time()
            connection = await sockets.connect(address, CONNECT_TIMEOUT_SECONDS)
            context.n_bytes = 0
            with trio.move_on_after(MAX_WAIT_SECONDS):
                await connection.send(REQUEST)
                while data := await connection.receive():
                    context.n_bytes += len(data)
            context.seconds = trio.current_time() - began_at
            for row in [connection, *silent]:
                row.close()
            nursery.cancel_scope.cancel()

    harness.run_on_virtual_clock(run)


@behave.then("another client gets its whole response within {seconds:d} s")
def check_response(context: runner.Context, seconds: int) -> None:
    assert context.n_bytes > RESPONSE_BYTES, context.n_bytes
    assert context.seconds <= seconds, context.seconds
