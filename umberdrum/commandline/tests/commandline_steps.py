"""Steps on the command-line tool, run against a fake store in a separate thread."""

import contextlib
import io
import pathlib
import tempfile
import threading

import behave
import trio
from behave import runner

from umberdrum import sockets
from umberdrum.commandline import main
from umberdrum.tests import harness
from umberdrum_bench import store_server, store_state


class StoreThread:
    """Fake store that runs on the real clock in a thread of its own."""

    def __init__(self) -> None:
        self.address = harness.find_free_address()
        self.faults = store_server.StoreFaults()
        self._ready = threading.Event()
        self._token: trio.lowlevel.TrioToken | None = None
        self._scope = trio.CancelScope()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,))

    def start(self) -> None:
        self._thread.start()
        self._ready.wait()

    def stop(self) -> None:
        assert self._token is not None
        self._token.run_sync_soon(self._scope.cancel)
        self._thread.join()

    async def _serve(self) -> None:
        server = store_server.StoreServer(store_state.StoreState(), self.faults)
        listener = sockets.bind_tcp(self.address)
        self._token = trio.lowlevel.current_trio_token()
        with self._scope:
            self._ready.set()
            await sockets.accept_connections(listener, server.serve, 100)


def _run_tool(context: runner.Context, arguments: str) -> None:
    output = io.StringIO()
    words = arguments.replace("{folder}", context.folder).split()
    if "--store" not in words:
        words = ["--store", str(context.store.address), *words]
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        context.code = int(main.run_program(words))
    context.output = output.getvalue()


@behave.given('a store with the class "lookup"')
def build_store(context: runner.Context) -> None:
    context.store = StoreThread()
    context.store.start()
    context.add_cleanup(context.store.stop)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    _run_tool(
        context, "class create lookup --service cards --idempotent --target-ms 50"
    )
    assert context.code == 0, context.output
    _run_tool(context, "snapshot save {folder}/lookup.json")
    assert context.code == 0, context.output


@behave.when('the operator runs "{arguments}" while the store is "{state}"')
def run_tool(context: runner.Context, arguments: str, state: str) -> None:
    context.store.faults.is_down = state == "down"
    context.store.faults.n_lost_answers = 1 if state == "lossy" else 0
    _run_tool(context, arguments)


@behave.then('the exit code is {code:d} and "{text}" is printed')
def check_exit_code(context: runner.Context, code: int, text: str) -> None:
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


LOG_A = """\
time=2026-01-01T00:00:00.100Z level=info event=route daemon=a request=r1 ms=1.0
  3.2 node time=2026-01-01T00:00:00.300Z level=info event=call_ended daemon=a request=r1
time=2026-01-01T00:00:00.250Z level=info event=refused daemon=a request=r1.2 x="a b"
"""
LOG_B = """\
time=2026-01-01T00:00:00.200Z level=info event=ran daemon=b request=r1 status=200
time=2026-01-01T00:00:00.500Z level=info event=call_ended daemon=b request=r2
time=2026-01-01T00:00:00.600Z level=info event=other daemon=b reason="for r1"
"""


@behave.given("the logs of two daemons on the requests r1, r1.2 and r2")
def write_logs(context: runner.Context) -> None:
    folder = pathlib.Path(tempfile.mkdtemp())
    context.logs = {"a": folder / "a.log", "b": folder / "b.log"}
    context.logs["a"].write_text(LOG_A)
    context.logs["b"].write_text(LOG_B)


@behave.when('the operator traces "{arguments}"')
def trace_request(context: runner.Context, arguments: str) -> None:
    paths = {name: str(path) for name, path in context.logs.items()}
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
        words = arguments.format(**paths).split()
        context.trace_code = main.run_program(["trace", *words])
    context.events = [line.split()[2] for line in output.getvalue().splitlines()]


@behave.then('the exit code is {code:d} and the printed events are "{events}"')
def check_traced_events(context: runner.Context, code: int, events: str) -> None:
    assert context.trace_code == code, context.trace_code
    assert ", ".join(context.events) == events, context.events


@behave.then('the exit code is {code:d} and the printed events are ""')
def check_no_events(context: runner.Context, code: int) -> None:
    assert context.trace_code == code, context.trace_code
    assert context.events == [], context.events
