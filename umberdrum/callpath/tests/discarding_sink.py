"""Response sink that keeps nothing."""

from umberdrum.callpath import _call


class DiscardingSink:
    """Discards a response."""

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
