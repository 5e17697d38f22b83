"""Graceful shutdown of a daemon."""

import trio

from umberdrum import callpath, logs, settings, sockets, supervision
from umberdrum.daemon import _listeners, _parts

FINAL_GOSSIP_SECONDS = 1.0
# A departure that peers answer, and the calls in progress, end within about this time.
DEPARTURE_SECONDS = 0.5
# Calls and connections that were sent before the departure was known arrive by then.
ARRIVAL_SECONDS = 0.1
RESIGN_TIMEOUT_SECONDS = 0.5
END_CALLS_SECONDS = 0.1
CONTROL_CLOSE_SECONDS = 0.25
MS_PER_SECOND = 1000.0


class Shutdown:
    """Ends the service of a daemon without cutting a call.

    1. The daemon is not ready, and gives up its contact key. It and its upstream serve
       until callers have noticed.
    2. Its departure is gossiped. Once peers know it, new calls to the upstream are
       refused as not run, and peer links are closed for requests.
    3. When the calls to the upstream have ended, callers' connections are closed after
       their last response.
    4. Peer links and control connections are closed.

    Requests that are read late in the grace period are refused if their deadline lies
    beyond it. Calls that are still in progress after it are cut off. An error in one
    step is logged and keeps none of the others from being taken.
    """

    def __init__(
        self,
        parts: _parts.DaemonParts,
        listeners: _listeners.Listeners,
        own_settings: settings.Settings,
        log: logs.EventLog,
        error_log: supervision.ErrorLog,
    ) -> None:
        self._parts = parts
        self._listeners = listeners
        self._log = log
        self._error_log = error_log
        self._n_ready_failures = own_settings.n_ready_failures
        now = trio.current_time()
        self._stop_period = callpath.build_stop_period(now, own_settings.grace_seconds)
        self._grace_until = self._stop_period.ends_at
        self._accept_until = min(
            now + own_settings.leave_accept_ms / MS_PER_SECOND, self._grace_until
        )
        self._is_accepting = own_settings.leave_accept_ms > 0
        self._listen_until = self._accept_until
        if self._is_accepting:
            self._listen_until = max(
                self._accept_until, self._grace_until - DEPARTURE_SECONDS
            )
        self._has_drained = trio.Event()

    async def run(self) -> None:
        """Take all steps; return once the daemon's tasks may be cancelled."""
        parts = self._parts
        self._log.write("stopping", in_progress=parts.watch.n_watched)
        parts.reporter.is_stopping = True
        parts.endpoint.ends_at = self._grace_until
        parts.entry.stop_period = self._stop_period
        with self._error_log.suppress("shutdown"):
            parts.contact_manager.leave()
        if self._is_accepting:
            parts.caller_server.start_draining()
            with trio.move_on_at(self._accept_until - DEPARTURE_SECONDS):
                await self._wait_until_noticed()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._resign)
            with trio.move_on_at(self._grace_until) as scope:
                await self._leave()
        if scope.cancelled_caught:
            self._log.warn("grace_exceeded", in_progress=parts.watch.n_watched)
            parts.caller_server.end_calls()
        sockets.close_listener(self._listeners.peer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_callers)
            nursery.start_soon(self._close_peers)
            nursery.start_soon(self._close_control_servers)

    async def _wait_until_noticed(self) -> None:
        """Return once failed readiness checks have told callers to go elsewhere."""
        if not self._n_ready_failures:
            await trio.sleep_forever()
        await self._parts.readiness.wait_until_failed(self._n_ready_failures)

    async def _resign(self) -> None:
        with trio.move_on_after(RESIGN_TIMEOUT_SECONDS):
            with self._error_log.suppress("shutdown"):
                await self._parts.contact_manager.resign()

    async def _leave(self) -> None:
        """Gossip the departure, close the callers' listener and finish all calls.

        A listener that accepts callers during the stop stays open for calls that the
        upstream makes while it finishes its own. It closes early enough for callers'
        connections to end within the grace period.
        """
        server = self._parts.caller_server
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain_endpoint)
            with trio.move_on_at(self._listen_until):
                await self._has_drained.wait()
            with self._error_log.suppress("shutdown"):
                sockets.close_listener(self._listeners.caller)
                server.start_closing()
            await self._has_drained.wait()
            await server.wait_closed()

    async def _drain_endpoint(self) -> None:
        """Gossip the departure, then refuse new calls and finish those in progress.

        Peers that have not heard of the departure yet are served until then.
        """
        parts = self._parts
        left_at = trio.current_time()
        with self._error_log.suppress("shutdown"):
            parts.state_updater.leave()
            with trio.move_on_at(left_at + FINAL_GOSSIP_SECONDS):
                await parts.exchange.deliver_own_record()
        await trio.sleep_until(left_at + ARRIVAL_SECONDS)
        with self._error_log.suppress("shutdown"):
            parts.state_updater.refuse_calls()
        with self._error_log.suppress("shutdown"):
            parts.peer_server.start_closing()
        await parts.endpoint.wait_until_idle()
        self._has_drained.set()

    async def _close_callers(self) -> None:
        with trio.move_on_after(END_CALLS_SECONDS):
            await self._parts.caller_server.wait_closed()

    async def _close_peers(self) -> None:
        with self._error_log.suppress("shutdown"):
            await self._parts.peer_server.close()

    async def _close_control_servers(self) -> None:
        """Answer the control requests that have arrived, and take no more."""
        servers = self._listeners.list_control_servers(self._parts)
        with self._error_log.suppress("shutdown"):
            for listener, server in servers:
                sockets.close_listener(listener)
                server.start_closing()
            with trio.move_on_after(CONTROL_CLOSE_SECONDS):
                for _, server in servers:
                    await server.wait_closed()
