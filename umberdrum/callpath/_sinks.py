"""Response sinks that wrap another sink."""

import trio

from umberdrum import routing
from umberdrum.callpath import _call


class ForwardingSink:
    """Forwards everything to another sink; a base class for sinks that do more."""

    def __init__(self, sink: _call.ResponseSink) -> None:
        self._sink = sink

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Forward the head."""
        await self._sink.start(head, report)

    async def write(self, data: bytes) -> None:
        """Forward body bytes."""
        await self._sink.write(data)

    async def flush(self) -> None:
        """Forward the flush."""
        await self._sink.flush()

    async def finish(self) -> None:
        """Forward the end of the response."""
        await self._sink.finish()


class TrackingSink(ForwardingSink):
    """Records whether and when the response was started.

    ``refusal_load`` is the load reported with the last refusal by an endpoint,
    ``report`` the endpoint's report on the response that was started.
    """

    def __init__(self, sink: _call.ResponseSink) -> None:
        super().__init__(sink)
        self.is_started = False
        self.started_at = 0.0
        self.refusal_load: routing.LoadReport | None = None
        self.report: _call.CallReport | None = None

    async def start(
        self, head: _call.HttpResponseHead, report: _call.CallReport
    ) -> None:
        """Record the start and forward the head."""
        self.is_started = True
        self.started_at = trio.current_time()
        self.report = report
        await self._sink.start(head, report)
