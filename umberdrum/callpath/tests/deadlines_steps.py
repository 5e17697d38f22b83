"""Steps for calls that are held up before they reach an upstream."""

import behave
import trio
from behave import runner

from umberdrum.tests import harness

MS_PER_SECOND = 1000.0


@behave.when(
    "a {cls} call with a deadline of {deadline_ms:d} ms goes to a peer that accepts "
    "connections and stays silent"
)
def call_silent_peer(context: runner.Context, cls: str, deadline_ms: int) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            await site.create_class("pay", "pay", "/pay", is_idempotent=False)
            await site.create_class("look", "pay", "/look")
            node = await site.add_node("pay", has_link=True)
            entry = await site.add_node("")
            await site.wait_until_known(2)
            parts = entry.daemon.parts
            assert parts is not None and node.link is not None
            directory = parts.directory
            await site.wait_until(lambda: len(directory.list_candidates("pay")) == 1)
            parts.peer_pool.close_all()
            node.link.pause()
            began_at = trio.current_time()
            body = b"x" if cls == "pay" else b""
            context.answer = await site.call(
                entry, "pay", "n1", f"/{cls}", "", body, deadline_ms=deadline_ms
            )
            context.ms = (trio.current_time() - began_at) * MS_PER_SECOND
            context.candidates = list(directory.list_candidates("pay"))

    harness.run_on_virtual_clock(run)


@behave.then('the caller gets "{result}" after {min_ms:d} to {max_ms:d} ms')
def check_result_in_time(
    context: runner.Context, result: str, min_ms: int, max_ms: int
) -> None:
    answer = context.answer
    assert f"{answer.kind}/{answer.execution}" == result, answer
    assert min_ms <= round(context.ms) <= max_ms, context.ms


@behave.then("the endpoint is suspected by its entry daemon")
def check_suspected(context: runner.Context) -> None:
    assert [row.is_suspected for row in context.candidates] == [True]
