"""Requests in progress on one connection of a caller, in the order of answers."""

import trio

from umberdrum import sockets


class Place:
    """Place of one request in the order of answers on its connection."""

    __slots__ = ("done", "turn")

    def __init__(self, turn: trio.Event) -> None:
        self.turn = turn
        self.done = trio.Event()


class CallerStream:
    """Requests in progress on one connection, in the order of their answers."""

    def __init__(self, connection: sockets.Connection, nursery: trio.Nursery) -> None:
        self.connection = connection
        self.nursery = nursery
        self.reading = trio.CancelScope()
        self.is_final = False
        self.n_in_flight = 0
        self._last_done = trio.Event()
        self._last_done.set()

    def add_request(self) -> Place:
        """Return the place behind all requests so far."""
        place = Place(self._last_done)
        self._last_done = place.done
        self.n_in_flight += 1
        return place

    def remove_request(self, place: Place) -> None:
        """Let the next answer out."""
        self.n_in_flight -= 1
        place.done.set()

    def is_newest(self, place: Place) -> bool:
        """Return whether no request came behind that of ``place``."""
        return self._last_done is place.done

    async def wait_for_turn(self) -> None:
        """Return once all requests so far were answered."""
        await self._last_done.wait()

    def close(self) -> None:
        """Send nothing more; requests behind the last answer are not run."""
        self.is_final = True
        self.connection.finish_sending()
        self.reading.cancel()
