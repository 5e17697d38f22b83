"""Background tasks that outlive their errors."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from umberdrum.supervision import _errors

MIN_RESTART_DELAY_SECONDS = 0.1
MAX_RESTART_DELAY_SECONDS = 2.0
# A task that ran for this long before it failed is restarted as if for the first time.
STABLE_SECONDS = 30.0
MAX_CONSECUTIVE_FAILURES = 8

TaskFunction = Callable[..., Awaitable[object]]


class TaskStarter(Protocol):
    """Starts tasks that nobody waits for: a supervisor, or a ``trio.Nursery``."""

    def start_soon(self, async_fn: TaskFunction, /, *args: object) -> None:
        """Run ``async_fn(*args)`` in a task of its own."""


class TaskSupervisor:
    """Runs background tasks so that an error in one of them ends no other.

    In a plain nursery an error cancels all tasks, among them those that serve
    connections, and their callers get no response. Here it is logged, and the task is
    started again after a delay. After ``MAX_CONSECUTIVE_FAILURES`` of an essential task
    ``on_give_up`` is called once. It should request a graceful stop; until that has
    ended, the task is still restarted. Only tasks without which no call can be served
    are essential: an error may be common to all daemons of a cluster, which then must
    not all stop.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        errors: _errors.ErrorLog,
        on_give_up: Callable[[], None],
    ) -> None:
        self._nursery = nursery
        self.errors = errors
        self._on_give_up = on_give_up
        self._has_given_up = False

    def start_soon(self, async_fn: TaskFunction, /, *args: object) -> None:
        """Run ``async_fn(*args)`` once in a task of its own and log its error."""
        self._nursery.start_soon(self._run_once, async_fn, args)

    def keep_running(
        self,
        name: str,
        async_fn: TaskFunction,
        /,
        *args: object,
        is_essential: bool = False,
    ) -> None:
        """Run ``async_fn(*args)`` until it returns, again after each error.

        ``name`` stands for the task in the log and in the metrics.
        """
        self._nursery.start_soon(
            self._run_repeatedly, name, async_fn, args, is_essential
        )

    async def _run_once(self, async_fn: TaskFunction, args: tuple[object, ...]) -> None:
        name = getattr(async_fn, "__name__", "task").lstrip("_")
        with self.errors.suppress(name):
            await async_fn(*args)

    async def _run_repeatedly(
        self,
        name: str,
        async_fn: TaskFunction,
        args: tuple[object, ...],
        is_essential: bool,
    ) -> None:
        delay = MIN_RESTART_DELAY_SECONDS
        n_consecutive = 0
        while True:
            started_at = trio.current_time()
            has_failed = False
            try:
                await async_fn(*args)
            except* Exception as faults:
                has_failed = True
                self.errors.record(name, faults)
            if not has_failed:
                return
            if trio.current_time() - started_at >= STABLE_SECONDS:
                delay = MIN_RESTART_DELAY_SECONDS
                n_consecutive = 0
            n_consecutive += 1
            if is_essential and n_consecutive >= MAX_CONSECUTIVE_FAILURES:
                self._give_up()
            await trio.sleep(delay)
            delay = min(MAX_RESTART_DELAY_SECONDS, delay * 2)

    def _give_up(self) -> None:
        if not self._has_given_up:
            self._has_given_up = True
            self._on_give_up()
