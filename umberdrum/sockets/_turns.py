"""Bound on the work that one task does before other tasks get a turn."""

import trio


class TurnLimit:
    """Yields to other tasks after ``max_steps`` steps that did not wait.

    Trio switches tasks only where a task waits. A peer that always has more bytes, or
    that sends many small parts at once, would otherwise keep the whole process busy.

    Example: ``await limit.count_step()`` in a loop that parses one event in each pass.
    """

    __slots__ = ("_max_steps", "_n_steps")

    def __init__(self, max_steps: int) -> None:
        self._max_steps = max_steps
        self._n_steps = 0

    async def count_step(self) -> None:
        """Count one step; let other tasks run if the limit is reached."""
        self._n_steps += 1
        if self._n_steps >= self._max_steps:
            self._n_steps = 0
            await trio.lowlevel.checkpoint()

    def reset(self) -> None:
        """Start a new turn, because the task has waited."""
        self._n_steps = 0
