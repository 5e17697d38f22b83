"""Steps for supervised tasks that fail."""

import logging

import behave
import trio
from behave import runner

from umberdrum import logs, supervision
from umberdrum.tests import harness

OBSERVED_SECONDS = 1000.0


class _LineCollector(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


def _build_error_log() -> tuple[supervision.ErrorLog, list[str]]:
    logger = logging.Logger("supervision")
    collector = _LineCollector()
    logger.addHandler(collector)
    return supervision.ErrorLog(logs.EventLog(logger, "d1")), collector.lines


class _FailingTask:
    """Task that fails a number of times and then returns."""

    def __init__(self, n_failures: int, seconds: float) -> None:
        self._n_failures = n_failures
        self._seconds = seconds
        self.started_at: list[float] = []
        self.failed_at: list[float] = []

    async def run(self) -> None:
        self.started_at.append(trio.current_time())
        await trio.sleep(self._seconds)
        if len(self.failed_at) < self._n_failures:
            self.failed_at.append(trio.current_time())
            raise ValueError("no value")


@behave.when(
    "a task that is {kind} fails {n_failures:d} times, each time after {seconds:d} s"
)
def fail_repeatedly(
    context: runner.Context, kind: str, n_failures: int, seconds: int
) -> None:
    error_log, _ = _build_error_log()
    task = _FailingTask(n_failures, seconds)
    given_up: list[float] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            supervisor = supervision.TaskSupervisor(
                nursery, error_log, lambda: given_up.append(trio.current_time())
            )
            supervisor.keep_running("work", task.run, is_essential=kind == "essential")

    harness.run_on_virtual_clock(run)
    context.task = task
    context.n_given_up = len(given_up)


@behave.then("it was started {n_starts:d} times with pauses of {pauses} s")
def check_starts(context: runner.Context, n_starts: int, pauses: str) -> None:
    task: _FailingTask = context.task
    assert len(task.started_at) == n_starts, task.started_at
    expected = [] if pauses == "none" else [float(row) for row in pauses.split(",")]
    found = [
        round(started - failed, 6)
        for failed, started in zip(task.failed_at, task.started_at[1:], strict=True)
    ]
    assert found == expected, found


@behave.then("giving up was requested {n_given_up:d} times")
def check_given_up(context: runner.Context, n_given_up: int) -> None:
    assert context.n_given_up == n_given_up, context.n_given_up


@behave.when("{task} raises {error} beside a running task")
def fail_beside(context: runner.Context, task: str, error: str) -> None:
    error_log, context.lines = _build_error_log()
    has_failed = trio.Event()
    context.n_ticks = 0

    async def fails() -> None:
        if has_failed.is_set():
            return
        has_failed.set()
        if error == "one error":
            raise ValueError("no value")
        raise ExceptionGroup("both", [ValueError("no value"), KeyError("no key")])

    async def tick() -> None:
        while True:
            await trio.sleep(1.0)
            context.n_ticks += 1

    async def run() -> None:
        with trio.move_on_after(OBSERVED_SECONDS):
            async with trio.open_nursery() as nursery:
                supervisor = supervision.TaskSupervisor(
                    nursery, error_log, nursery.cancel_scope.cancel
                )
                supervisor.keep_running("ticks", tick)
                if task == "a task run once":
                    supervisor.start_soon(fails)
                else:
                    supervisor.keep_running("work", fails)

    harness.run_on_virtual_clock(run)


@behave.then("the other task runs on")
def check_ticks(context: runner.Context) -> None:
    assert context.n_ticks >= OBSERVED_SECONDS - 1, context.n_ticks


@behave.then('{n_lines:d} errors of the task "{name}" are logged with their place')
def check_lines(context: runner.Context, n_lines: int, name: str) -> None:
    assert len(context.lines) == n_lines, context.lines
    for line in context.lines:
        assert f"event=task_failed daemon=d1 task={name} reason=" in line, line
    if n_lines == 1:
        assert "supervision_steps.py:" in context.lines[0], context.lines


@behave.when("the tasks of a supervisor are cancelled")
def cancel_tasks(context: runner.Context) -> None:
    error_log, context.lines = _build_error_log()

    async def run() -> float:
        async with trio.open_nursery() as nursery:
            supervisor = supervision.TaskSupervisor(
                nursery, error_log, nursery.cancel_scope.cancel
            )
            supervisor.keep_running("work", trio.sleep_forever)
            supervisor.start_soon(trio.sleep_forever)
            await trio.sleep(1.0)
            cancelled_at = trio.current_time()
            nursery.cancel_scope.cancel()
        return trio.current_time() - cancelled_at

    context.seconds = harness.run_on_virtual_clock(run)


@behave.then("they end at once and no error is logged")
def check_cancelled(context: runner.Context) -> None:
    assert context.seconds == 0.0, context.seconds
    assert not context.lines, context.lines
