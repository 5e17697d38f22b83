"""Steps for the early refusal gate and the latency slot limit."""

import behave
import trio
from behave import runner

from umberdrum import admission, errors
from umberdrum.tests import harness


class GateRun:
    """Gate whose calls take a fixed time, with a record of their results."""

    def __init__(self, n_slots: int, service_seconds: float) -> None:
        self.gate = admission.EarlyRefusalGate(admission.FixedSlotLimit(n_slots))
        self.service_seconds = service_seconds
        self.max_running = 0
        self.n_admitted = 0
        self.order: list[int] = []
        self.refusals: list[errors.Failure] = []
        self.seconds_to_refusal: list[float] = []

    async def call(
        self,
        class_name: str = "look",
        target_ms: int = 200,
        max_queue_ms: int = 10_000,
        deadline_seconds: float = 100.0,
    ) -> None:
        began_at = trio.current_time()
        request = admission.AdmissionRequest(
            class_name, target_ms, max_queue_ms, began_at + deadline_seconds
        )
        acquired = await self.gate.acquire(request)
        if acquired.is_error():
            self.refusals.append(acquired.error)
            self.seconds_to_refusal.append(trio.current_time() - began_at)
            return
        self.n_admitted += 1
        self.order.append(target_ms)
        self.max_running = max(self.max_running, self.gate.n_running)
        await trio.sleep(self.service_seconds)
        self.gate.release(acquired.ok, is_observed=True)


@behave.given("a gate of {n_slots:d} slots where calls take {ms:d} ms")
def build_gate(context: runner.Context, n_slots: int, ms: int) -> None:
    context.run = GateRun(n_slots, ms / 1000)
    context.n_warm_up_calls = 0


@behave.given("the gate has finished {n_calls:d} calls")
def warm_up_gate(context: runner.Context, n_calls: int) -> None:
    context.n_warm_up_calls = n_calls


@behave.when(
    'short calls are active and {n_calls:d} calls of class "{name}" with a target of '
    "{target:d} ms arrive"
)
def run_long_calls_beside_short_ones(
    context: runner.Context, n_calls: int, name: str, target: int
) -> None:
    async def run() -> None:
        gate_run = context.run
        gate_run.service_seconds = 0.001
        await gate_run.call("check", 50)
        gate_run.service_seconds = 1.0
        gate_run.max_running = 0
        async with trio.open_nursery() as nursery:
            for _ in range(n_calls):
                nursery.start_soon(gate_run.call, name, target)

    harness.run_on_virtual_clock(run)


@behave.when(
    '{n_calls:d} calls of class "{name}" with a target of {target:d} ms arrive at once'
)
def run_calls_at_once(
    context: runner.Context, n_calls: int, name: str, target: int
) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(n_calls):
                nursery.start_soon(context.run.call, name, target)

    harness.run_on_virtual_clock(run)


@behave.then("at most {n_calls:d} run at the same time")
def check_running(context: runner.Context, n_calls: int) -> None:
    assert 0 < context.run.max_running <= n_calls, context.run.max_running


@behave.then("{n_calls:d} are admitted")
def check_admitted(context: runner.Context, n_calls: int) -> None:
    assert context.run.n_admitted == n_calls, context.run.n_admitted


@behave.when(
    'calls with targets of "{targets}" ms arrive in this order while another call runs'
)
def run_calls_in_order(context: runner.Context, targets: str) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.run.call, "first", 1000)
            await trio.sleep(0.001)
            for target in targets.split(", "):
                name = f"c{target}"
                nursery.start_soon(context.run.call, name, int(target))
                await trio.sleep(0)

    harness.run_on_virtual_clock(run)


@behave.then('they run in the order "{targets}"')
def check_order(context: runner.Context, targets: str) -> None:
    expected = [int(target) for target in targets.split(", ")]
    assert context.run.order[1:] == expected, context.run.order


@behave.when(
    "{n_calls:d} calls with a deadline of {deadline:d} ms and a queue bound of "
    "{queue:d} ms arrive"
)
def run_bounded_calls(
    context: runner.Context, n_calls: int, deadline: int, queue: int
) -> None:
    async def run() -> None:
        gate_run = context.run
        for _ in range(context.n_warm_up_calls):
            await gate_run.call()
        async with trio.open_nursery() as nursery:
            for _ in range(n_calls):
                nursery.start_soon(gate_run.call, "look", 200, queue, deadline / 1000)

    harness.run_on_virtual_clock(run)


@behave.then('{n_calls:d} are refused at once as "{kind}" and not run')
def check_refused(context: runner.Context, n_calls: int, kind: str) -> None:
    refusals = context.run.refusals
    assert len(refusals) == n_calls, len(refusals)
    assert all(refusal.kind.token == kind for refusal in refusals), refusals
    assert all(r.execution is errors.Execution.NOT_RUN for r in refusals)
    assert max(context.run.seconds_to_refusal) == 0.0, context.run.seconds_to_refusal


@behave.then("each refusal has a retry time")
def check_retry_after(context: runner.Context) -> None:
    assert all(refusal.retry_after_ms > 0 for refusal in context.run.refusals)


@behave.when(
    "{n_calls:d} queued calls are cancelled, one of them just as it gets a slot"
)
def cancel_queued_calls(context: runner.Context, n_calls: int) -> None:
    async def run() -> None:
        gate_run = context.run
        gate = gate_run.gate
        request = admission.AdmissionRequest("look", 200, 10_000, 1000.0)
        held = (await gate.acquire(request)).ok
        async with trio.open_nursery() as nursery:
            for _ in range(n_calls):
                nursery.start_soon(gate_run.call)
            await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
            gate.release(held, is_observed=False)
        context.counts_left = (gate.n_running, gate.n_queued)
        await gate_run.call()

    harness.run_on_virtual_clock(run)


@behave.then("no call runs, none is queued and a new call is admitted at once")
def check_nothing_left(context: runner.Context) -> None:
    assert context.counts_left == (0, 0), context.counts_left
    assert context.run.n_admitted == 1


@behave.when("{n_calls:d} calls are queued and all of them are refused")
def refuse_queued_calls(context: runner.Context, n_calls: int) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(n_calls + 1):
                nursery.start_soon(context.run.call)
            await trio.sleep(0.001)
            failure = errors.fail(errors.ErrorKind.ENDPOINT_LEAVING, "leaving")
            context.run.gate.refuse_all(failure)

    harness.run_on_virtual_clock(run)


@behave.then('{n_calls:d} are refused as "{kind}"')
def check_refused_kinds(context: runner.Context, n_calls: int, kind: str) -> None:
    kinds = [refusal.kind.token for refusal in context.run.refusals]
    assert kinds == [kind] * n_calls, kinds


@behave.given("a limit of {n_slots:d} slots after {n_calls:d} calls at usual speed")
def build_limit(context: runner.Context, n_slots: int, n_calls: int) -> None:
    context.limit = admission.LatencySlotLimit(n_slots)
    for _ in range(n_calls):
        context.limit.observe(1.0, 1)


@behave.when("{n_calls:d} calls take {factor:d} times as long")
def observe_slow_calls(context: runner.Context, n_calls: int, factor: int) -> None:
    for _ in range(n_calls):
        context.limit.observe(float(factor), 1)


@behave.then("the limit is between {low:d} and {high:d}")
def check_limit(context: runner.Context, low: int, high: int) -> None:
    assert low <= context.limit.get_limit() <= high, context.limit.get_limit()


@behave.then("after {n_calls:d} calls at usual speed it is {n_slots:d} again")
def check_recovered(context: runner.Context, n_calls: int, n_slots: int) -> None:
    for _ in range(n_calls):
        context.limit.observe(1.0, 1)
    assert context.limit.get_limit() == n_slots, context.limit.get_limit()
