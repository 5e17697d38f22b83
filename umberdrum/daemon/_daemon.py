"""Tasks of one daemon and its graceful shutdown."""

import logging
import random
import socket
import time
from typing import NamedTuple

import trio

from umberdrum import (
    controlhttp,
    logs,
    measuring,
    peerlink,
    settings,
    sockets,
    startup,
)
from umberdrum.daemon import _integration, _parts

MAX_CONTROL_CONNECTIONS = 64
MAX_PEER_CONNECTIONS = 4096
MAINTENANCE_INTERVAL_SECONDS = 1.0
FINAL_GOSSIP_SECONDS = 1.0
RESIGN_TIMEOUT_SECONDS = 0.5
END_CALLS_SECONDS = 0.1
CONTROL_CLOSE_SECONDS = 0.25
MS_PER_SECOND = 1000.0
PROCESS_ID_BITS = 63


class _Listeners(NamedTuple):
    """Listening TCP sockets of the daemon; ``ready`` is optional."""

    caller: socket.socket
    peer: socket.socket
    admin: socket.socket
    announce: socket.socket
    ready: socket.socket | None


class Daemon:
    """Daemon for one upstream.

    It is built from validated settings, runs until ``stop`` is called and then shuts
    down gracefully: it refuses new calls, gossips its departure, waits for calls in
    progress, and ends. Tests pass a seeded ``rng`` to make random choices repeatable.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        logger: logging.Logger,
        writer: logs.LineWriter,
        rng: random.Random | None = None,
        integration: _integration.Integration | None = None,
        listeners: startup.EarlyListeners | None = None,
    ) -> None:
        if listeners is None:
            listeners = startup.EarlyListeners((), time.monotonic())
        self._early_listeners = list(listeners.sockets)
        self._bound_at = listeners.bound_at
        self._integration = integration or _integration.build_own_integration()
        self._settings = own_settings
        self._logger = logger
        self._writer = writer
        daemon_id = str(own_settings.peer_advertise)
        self._log = logs.EventLog(logger, daemon_id)
        self._rng = rng or random.Random()
        process_id = self._rng.getrandbits(PROCESS_ID_BITS) | 1
        self._identity = peerlink.DaemonIdentity(daemon_id, process_id)
        self._budget = measuring.MeasuringBudget(
            own_settings.measuring_bytes_per_second
        )
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()
        self.parts: _parts.DaemonParts | None = None

    async def wait_stopped(self) -> None:
        """Wait until ``run`` has ended without an error."""
        await self._stopped.wait()

    def stop(self) -> None:
        """Request a graceful shutdown and return at once."""
        self._stop_requested.set()

    def reload(self, changed: settings.Settings) -> None:
        """Apply the settings that may change while the daemon runs.

        These are the log level and the measuring budget.
        """
        self._logger.setLevel(changed.log_level.upper())
        self._budget.bytes_per_second = changed.measuring_bytes_per_second
        self._log.write(
            "settings_reloaded",
            log_level=changed.log_level,
            measuring_bytes_per_second=changed.measuring_bytes_per_second,
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Bind all addresses and serve until stopped.

        Raises ``OSError`` when an address can't be bound.
        """
        listeners = self._bind()
        try:
            await self._serve(listeners, task_status)
        finally:
            for listener in listeners:
                if listener is not None:
                    sockets.close_listener(listener)
            if self.parts is not None:
                self.parts.close()
        self._log.write("stopped")
        self._stopped.set()

    async def _serve(
        self, listeners: _Listeners, task_status: trio.TaskStatus[None]
    ) -> None:
        async with trio.open_nursery() as nursery:
            parts = _parts.DaemonParts(
                self._settings,
                self._identity,
                self._budget,
                self._rng,
                self._log,
                self._writer,
                nursery,
                self._integration,
            )
            self.parts = parts
            bound_seconds = time.monotonic() - self._bound_at
            parts.caller_server.set_listening_since(trio.current_time() - bound_seconds)
            await parts.exchange.bind()
            self._start_tasks(parts, listeners, nursery)
            self._log.write(
                "started",
                process=f"{self._identity.process_id:016x}",
                zone=self._settings.availability_zone,
                region=self._settings.region,
                caller=str(self._settings.caller_listen),
            )
            task_status.started()
            await self._stop_requested.wait()
            await self._shut_down(parts, listeners)
            nursery.cancel_scope.cancel()

    def _bind(self) -> _Listeners:
        own = self._settings
        caller = self._pop_early_listener(own.caller_listen)
        announce = self._pop_early_listener(own.announce_listen)
        for listener in self._early_listeners:
            listener.close()
        return _Listeners(
            caller or sockets.bind_tcp(own.caller_listen),
            sockets.bind_tcp(own.peer_listen),
            sockets.bind_tcp(own.admin_listen),
            announce or sockets.bind_tcp(own.announce_listen),
            sockets.bind_tcp(own.ready_listen) if own.ready_listen else None,
        )

    def _pop_early_listener(self, address: settings.Address) -> socket.socket | None:
        """Remove and return the early listener at ``address``, if there is one."""
        for listener in self._early_listeners:
            if listener.getsockname()[:2] == (address.host, address.port):
                self._early_listeners.remove(listener)
                return listener
        return None

    def _start_tasks(
        self, parts: _parts.DaemonParts, listeners: _Listeners, nursery: trio.Nursery
    ) -> None:
        accept = sockets.accept_connections
        max_callers = self._settings.max_connections
        nursery.start_soon(parts.caller_server.accept, listeners.caller, max_callers)
        nursery.start_soon(
            accept, listeners.peer, parts.peer_server.serve, MAX_PEER_CONNECTIONS
        )
        for listener, server in self._list_control_servers(parts, listeners):
            nursery.start_soon(server.accept, listener, MAX_CONTROL_CONNECTIONS)
        nursery.start_soon(parts.prober.run)
        nursery.start_soon(parts.startup_probe.run)
        nursery.start_soon(parts.exchange.run)
        nursery.start_soon(parts.contact_manager.run)
        nursery.start_soon(parts.announcement_tracker.expire_announcements)
        nursery.start_soon(parts.entry.hedge_scheduler.run)
        nursery.start_soon(parts.watch.run)
        nursery.start_soon(self._maintain, parts)

    def _list_control_servers(
        self, parts: _parts.DaemonParts, listeners: _Listeners
    ) -> list[tuple[socket.socket, controlhttp.ControlServer]]:
        servers = [
            (listeners.admin, parts.admin_server),
            (listeners.announce, parts.announce_server),
        ]
        if listeners.ready is not None:
            servers.append((listeners.ready, parts.ready_server))
        return servers

    async def _maintain(self, parts: _parts.DaemonParts) -> None:
        """Close idle connections and drop the statistics of removed endpoints."""
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = trio.current_time()
            parts.peer_pool.close_idle(now)
            parts.upstream_pool.close_idle(now)
            parts.entry.router.prune_endpoints(parts.directory.list_keys())

    async def _shut_down(
        self, parts: _parts.DaemonParts, listeners: _Listeners
    ) -> None:
        """Refuse new calls, gossip the departure and finish calls in progress.

        Calls that are still in progress after the grace period are ended.
        """
        self._log.write("stopping", in_progress=parts.watch.n_watched)
        parts.reporter.is_stopping = True
        parts.state_updater.leave()
        gossip_until = trio.current_time() + FINAL_GOSSIP_SECONDS
        grace_until = trio.current_time() + self._settings.grace_ms / MS_PER_SECOND
        if self._settings.leave_accept_ms:
            # Callers still connect until they have noticed that this daemon leaves.
            parts.caller_server.start_draining()
            await trio.sleep(self._settings.leave_accept_ms / MS_PER_SECOND)
        sockets.close_listener(listeners.caller)
        parts.caller_server.start_closing()
        with trio.move_on_after(RESIGN_TIMEOUT_SECONDS):
            await parts.contact_manager.resign()
        await trio.sleep_until(min(gossip_until, grace_until))
        with trio.move_on_at(grace_until) as scope:
            await parts.endpoint.wait_until_idle()
            await parts.caller_server.wait_closed()
        if scope.cancelled_caught:
            self._log.warn("grace_exceeded", in_progress=parts.watch.n_watched)
            parts.caller_server.end_calls()
            with trio.move_on_after(END_CALLS_SECONDS):
                await parts.caller_server.wait_closed()
        with trio.move_on_after(CONTROL_CLOSE_SECONDS):
            await self._close_control_servers(parts, listeners)

    async def _close_control_servers(
        self, parts: _parts.DaemonParts, listeners: _Listeners
    ) -> None:
        """Answer the control requests that have arrived, and take no more."""
        servers = self._list_control_servers(parts, listeners)
        for listener, server in servers:
            sockets.close_listener(listener)
            server.start_closing()
        for _, server in servers:
            await server.wait_closed()
