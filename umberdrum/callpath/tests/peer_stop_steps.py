"""Steps for calls on peer links of an endpoint daemon that stops."""

import behave
import trio
import trio.testing
from behave import runner

from umberdrum import errors, peerlink
from umberdrum.callpath import _call, _endpoint, _sinks
from umberdrum.callpath.tests import callpath_steps
from umberdrum.daemon import _parts
from umberdrum.tests import harness

DEADLINE_SECONDS = 30.0
N_WARM_UP_CALLS = 24
GRACE_MS = 1500
# Calls are sent in this many successive passes of the event loop.
N_PASSES = 8


class _PeerCalls:
    """Calls that an entry daemon makes over its peer links, past its routing."""

    def __init__(self, node: harness.Node, entry: harness.Node, cls: str) -> None:
        self._client = get_parts(entry).peer_client
        own = get_parts(node).table.own
        self._peer = peerlink.PeerAddress(own.address, own.process_id)
        self._cls = cls
        self.results: list[_endpoint.CallResult] = []

    async def call(self, number: int) -> None:
        """Send one call and store its result."""
        call = build_call(self._cls, f"{self._cls}-{number}")
        sink = _sinks.TrackingSink(_sinks.DiscardingSink())
        result = await self._client.run(call, self._peer, _call.WholeBody(b""), sink)
        self.results.append(result)

    async def call_at(self, moment: trio.Event, number: int) -> None:
        """Send one call a few passes of the event loop after ``moment``."""
        await moment.wait()
        for _ in range(number % N_PASSES):
            await trio.lowlevel.checkpoint()
        await self.call(number)

    async def warm_up(self) -> None:
        """Make calls at once, so that their links are idle afterwards."""
        async with trio.open_nursery() as nursery:
            for number in range(N_WARM_UP_CALLS):
                nursery.start_soon(self.call, -1 - number)
        self.results.clear()


def get_parts(node: harness.Node) -> _parts.DaemonParts:
    """Return the parts of a daemon that runs."""
    parts = node.daemon.parts
    assert parts is not None
    return parts


def build_call(cls: str, request_id: str) -> _call.Call:
    """Return a call without a body."""
    return _call.Call(
        request_id=request_id,
        class_name=cls,
        method=b"POST",
        target=b"/" + cls.encode(),
        headers=[(b"host", b"pay"), (b"x-nonce", request_id.encode())],
        deadline=trio.current_time() + DEADLINE_SECONDS,
        n_extra_attempts=0,
        is_idempotent=cls == "look",
        target_latency_ms=1000,
        max_queue_ms=1000,
        content_length=None,
        service="pay",
        target_at=trio.current_time() + DEADLINE_SECONDS,
    )


def _signal_end(parts: _parts.DaemonParts, ended: trio.Event) -> None:
    """Set ``ended`` at the moment at which the endpoint has become idle."""
    wait_until_idle = parts.endpoint.wait_until_idle

    async def wait_and_signal() -> None:
        await wait_until_idle()
        ended.set()

    parts.endpoint.wait_until_idle = wait_and_signal  # type: ignore[method-assign]


@behave.when(
    "{n_calls:d} {cls} calls are sent over peer links "
    "just as the endpoint daemon {moment}"
)
def call_at_stop(context: runner.Context, n_calls: int, cls: str, moment: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        calls = _PeerCalls(node, entry, cls)
        await calls.warm_up()
        n_earlier_runs = len(node.upstream.begun)
        event = trio.Event()
        async with trio.open_nursery() as nursery:
            for number in range(n_calls):
                nursery.start_soon(calls.call_at, event, number)
            await trio.testing.wait_all_tasks_blocked()
            if moment == "ends":
                _signal_end(get_parts(node), event)
            else:
                event.set()
            node.daemon.stop()
        context.results = calls.results
        context.n_runs = len(node.upstream.begun) - n_earlier_runs

    callpath_steps.run_with_upstream(test)


@behave.then("each of them got a response, or is proven not to have run")
def check_results(context: runner.Context) -> None:
    unproven = [
        result.error
        for result in context.results
        if result.is_error() and not errors.is_proven_not_run(result.error.execution)
    ]
    assert not unproven, (len(unproven), len(context.results), unproven[:3])


@behave.then("the number of responses equals the number of runs")
def check_runs(context: runner.Context) -> None:
    n_responses = sum(1 for result in context.results if result.is_ok())
    assert n_responses == context.n_runs, (n_responses, context.n_runs)


@behave.when("a {cls} call outlasts the grace period of an endpoint daemon {state}")
def outlast_grace(context: runner.Context, cls: str, state: str) -> None:
    async def test(site: harness.Site, node: harness.Node, entry: harness.Node) -> None:
        daemon = node.daemon
        daemon._settings = daemon._settings._replace(grace_ms=GRACE_MS)
        node.upstream.constant_fault = "hang"
        calls = _PeerCalls(node, entry, cls)
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(calls.call, 1)
            await site.wait_until(lambda: bool(node.upstream.begun))
            if state.endswith("queried"):
                (connection,) = get_parts(node).peer_server._connections.values()
                connection.close()
                await trio.sleep(0.1)
            daemon.stop()
        context.result = calls.results[0]
        context.seconds = trio.current_time() - began_at

    callpath_steps.run_with_upstream(test)


@behave.then('it ends with "{result}" at the end of that period')
def check_cut(context: runner.Context, result: str) -> None:
    assert context.result.is_error(), context.result
    failure = context.result.error
    found = f"{failure.kind.token}/{failure.execution.token}"
    assert found == result, failure
    assert context.seconds < GRACE_MS / 1000 + 0.5, context.seconds
