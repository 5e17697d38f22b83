"""Steps on the operators' tool, run against a store stand-in in a thread of its own."""

import contextlib
import io
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
    """Store stand-in that runs on a real clock beside the tool."""

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


@behave.given('a store with the class "look"')
def build_store(context: runner.Context) -> None:
    context.store = StoreThread()
    context.store.start()
    context.add_cleanup(context.store.stop)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    _run_tool(context, "class create look --service cards --idempotent --target-ms 50")
    assert context.code == 0, context.output
    _run_tool(context, "snapshot save {folder}/look.json")
    assert context.code == 0, context.output


@behave.when('the operator runs "{arguments}" while the store is "{state}"')
def run_tool(context: runner.Context, arguments: str, state: str) -> None:
    context.store.faults.is_down = state == "down"
    context.store.faults.n_lost_answers = 1 if state == "lossy" else 0
    _run_tool(context, arguments)


@behave.then('the exit code is {code:d} and "{text}" is printed')
def check_exit(context: runner.Context, code: int, text: str) -> None:
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output
