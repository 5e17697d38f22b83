"""Requests in progress on a caller's connection, in the order of their responses."""

import math

import trio

from umberdrum import sockets


class PipelinePosition:
    """Position of one request in the order of responses on its connection.

    ``turn`` is set once the previous response was sent, ``done`` once this one was.
    """

    __slots__ = ("done", "turn")

    def __init__(self, turn: trio.Event) -> None:
        self.turn = turn
        self.done = trio.Event()


class RequestPipeline:
    """Requests in progress on one connection, in the order of their responses.

    ``is_final`` means that the connection closes after the responses in progress and
    that no further request is run. ``is_receiving`` means that a request is being read
    or waits until it may start, ``has_unparsed`` that bytes were read after it.
    ``is_unused`` means that no request has begun on the connection, ``is_overlapping``
    that a request has begun before the response to an earlier one was sent.
    """

    def __init__(self, connection: sockets.Connection, nursery: trio.Nursery) -> None:
        self.connection = connection
        self.nursery = nursery
        self.read_scope = trio.CancelScope()
        self.is_final = False
        self.is_unused = True
        self.is_overlapping = False
        self.idle_until = math.inf
        self._idle_scope = trio.CancelScope()
        self.is_receiving = False
        self.has_unparsed = False
        self.n_in_flight = 0
        self.last_response_at = -math.inf
        self._last_done = trio.Event()
        self._last_done.set()

    def add_request(self) -> PipelinePosition:
        """Return the position after all requests so far."""
        position = PipelinePosition(self._last_done)
        self._last_done = position.done
        self.is_receiving = False
        self.n_in_flight += 1
        return position

    def remove_request(self, position: PipelinePosition) -> None:
        """Allow the next response to be sent."""
        self.n_in_flight -= 1
        self.last_response_at = trio.current_time()
        position.done.set()

    def is_newest(self, position: PipelinePosition) -> bool:
        """Return whether no request was added after that of ``position``."""
        return self._last_done is position.done

    def start_receiving(self) -> None:
        """Note that the next request has begun."""
        self.is_receiving = True
        self.is_unused = False
        if self.n_in_flight:
            self.is_overlapping = True
        self.idle_until = math.inf

    def start_idle_wait(self, until: float) -> trio.CancelScope:
        """Return a scope in which to wait for bytes ``until`` that time.

        It ends earlier if ``limit_idle_time`` demands it.
        """
        self._idle_scope = trio.CancelScope(deadline=until)
        return self._idle_scope

    def limit_idle_time(self, seconds: float) -> None:
        """Let the connection be closed if no request begins for that long."""
        self.idle_until = trio.current_time() + seconds
        self._idle_scope.deadline = min(self._idle_scope.deadline, self.idle_until)

    def has_next_request(self) -> bool:
        """Return whether bytes of a request have arrived that is not in progress."""
        return self.is_receiving or self.has_unparsed or self.connection.has_data()

    def is_idle(self) -> bool:
        """Return whether no request is in progress or has arrived."""
        return not self.n_in_flight and not self.has_next_request()

    async def wait_for_turn(self) -> None:
        """Wait until the responses to all requests so far were sent."""
        await self._last_done.wait()

    def close(self) -> None:
        """Stop reading and end the sending side; unread requests are not run."""
        self.is_final = True
        self.connection.finish_sending()
        self.read_scope.cancel()
