"""Keeps requests under which an upstream has ended apart from each other."""

import trio


class SuspectTurns:
    """Lets the copies of only one suspect request run at the upstream at a time.

    When the upstream ends, at most one suspect was running. A request that only ran
    beside the culprit is thus never seen at a second end together with it.
    """

    def __init__(self) -> None:
        self._running: bytes = b""
        self._n_running = 0
        self._freed = trio.Event()

    def is_free(self, fingerprint: bytes) -> bool:
        """Return whether no other suspect is running."""
        return self._n_running == 0 or self._running == fingerprint

    async def wait(self, fingerprint: bytes, deadline: float) -> bool:
        """Wait for the turn of a suspect; return False if it has not come in time."""
        while not self.is_free(fingerprint):
            with trio.move_on_at(deadline) as scope:
                await self._freed.wait()
            if scope.cancelled_caught:
                return False
        return True

    def begin(self, fingerprint: bytes) -> None:
        """Count a suspect that begins to run."""
        self._running = fingerprint
        self._n_running += 1

    def end(self) -> None:
        """Count a suspect that no longer runs."""
        self._n_running -= 1
        if self._n_running == 0:
            self._freed.set()
            self._freed = trio.Event()
