"""Sinks around another sink."""

import trio

from umberdrum import routing
from umberdrum.callpath import _call


class ForwardingSink:
    """Passes everything on to the sink behind it; a base for sinks that add to that."""

    def __init__(self, sink: _call.ResponseSink) -> None:
        self._sink = sink

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Pass the head on."""
        await self._sink.start(head, report)

    async def write(self, data: bytes) -> None:
        """Pass body bytes on."""
        await self._sink.write(data)

    async def flush(self) -> None:
        """Pass the flush on."""
        await self._sink.flush()

    async def finish(self) -> None:
        """Pass the end on."""
        await self._sink.finish()


class CountingSink(ForwardingSink):
    """Knows whether and when an answer was started.

    ``refusal_load`` is the load that came with the last refusal of an endpoint.
    """

    def __init__(self, sink: _call.ResponseSink) -> None:
        super().__init__(sink)
        self.is_started = False
        self.started_at = 0.0
        self.refusal_load: routing.LoadReport | None = None

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Note the start and pass the head on."""
        self.is_started = True
        self.started_at = trio.current_time()
        await self._sink.start(head, report)


class DiscardingSink:
    """Takes an answer that nobody wants, so that its connection can be used again."""

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Drop the head."""

    async def write(self, data: bytes) -> None:
        """Drop body bytes."""

    async def flush(self) -> None:
        """Do nothing."""

    async def finish(self) -> None:
        """Do nothing."""
