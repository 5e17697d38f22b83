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
    supervision,
)
from umberdrum.daemon import _integration, _parts

MAX_CONTROL_CONNECTIONS = 64
MAX_PEER_CONNECTIONS = 4096
MAINTENANCE_INTERVAL_SECONDS = 1.0
FINAL_GOSSIP_SECONDS = 1.0
# A departure that peers answer, and the calls in progress, end within about this time.
DEPARTURE_SECONDS = 0.5
# Calls and connections that were sent before the departure was known arrive by then.
ARRIVAL_SECONDS = 0.1
RESIGN_TIMEOUT_SECONDS = 0.5
CONTROL_CLOSE_SECONDS = 0.3
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
    down gracefully: it serves until its callers have noticed, gossips its departure,
    waits for calls in progress, and ends. Tests pass a seeded ``rng`` to make random
    choices repeatable.
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
        self.errors = supervision.ErrorLog(self._log)
        self.has_failed = False
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()
        self.parts: _parts.DaemonParts | None = None

    async def wait_stopped(self) -> None:
        """Wait until ``run`` has ended without an error."""
        await self._stopped.wait()

    def stop(self) -> None:
        """Request a graceful shutdown and return at once."""
        self._stop_requested.set()

    def fail(self) -> None:
        """Request a graceful shutdown because of errors in the daemon.

        ``has_failed`` is set, so that the program ends with an error code.
        """
        self.has_failed = True
        self.stop()

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

    def refuse_settings(self, faults: list[settings.SettingsFault]) -> None:
        """Log the faults of a changed settings file, which is not applied."""
        for fault in faults:
            self._log.warn("settings_refused", reason=str(fault))

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
        self._log.write("stopped", failed=self.has_failed)
        self._stopped.set()

    async def _serve(
        self, listeners: _Listeners, task_status: trio.TaskStatus[None]
    ) -> None:
        async with trio.open_nursery() as nursery:
            tasks = supervision.TaskSupervisor(nursery, self.errors, self.fail)
            parts = _parts.DaemonParts(
                self._settings,
                self._identity,
                self._budget,
                self._rng,
                self._log,
                self._writer,
                tasks,
                self._integration,
            )
            self.parts = parts
            bound_seconds = time.monotonic() - self._bound_at
            parts.caller_server.set_listening_since(trio.current_time() - bound_seconds)
            await parts.exchange.bind()
            self._start_tasks(parts, listeners, tasks)
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
        self,
        parts: _parts.DaemonParts,
        listeners: _Listeners,
        tasks: supervision.TaskSupervisor,
    ) -> None:
        accept = sockets.accept_connections
        max_callers = self._settings.max_connections
        keep_running = tasks.keep_running
        keep_running(
            "accept_callers",
            parts.caller_server.accept,
            listeners.caller,
            max_callers,
        )
        keep_running(
            "accept_peers",
            accept,
            listeners.peer,
            parts.peer_server.serve,
            MAX_PEER_CONNECTIONS,
        )
        for listener, server in self._list_control_servers(parts, listeners):
            keep_running(
                "accept_control", server.accept, listener, MAX_CONTROL_CONNECTIONS
            )
        keep_running("prober", parts.prober.run)
        keep_running("startup_probe", parts.startup_probe.run)
        keep_running("gossip", parts.exchange.run)
        keep_running("contact_manager", parts.contact_manager.run)
        keep_running("announcements", parts.announcement_tracker.expire_announcements)
        keep_running("hedging", parts.entry.hedge_scheduler.run)
        keep_running("liveness_watch", parts.watch.run)
        keep_running("maintenance", self._maintain, parts)

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
        """Serve until callers have noticed the stop, then leave and finish all calls.

        Calls that are still in progress after the grace period are cut off. A step that
        fails does not keep the following ones from being taken.
        """
        self._log.write("stopping", in_progress=parts.watch.n_watched)
        now = trio.current_time()
        grace_until = now + self._settings.grace_ms / MS_PER_SECOND
        accept_until = now + self._settings.leave_accept_ms / MS_PER_SECOND
        accept_until = min(accept_until, grace_until)
        parts.reporter.is_stopping = True
        parts.endpoint.ends_at = grace_until
        with self.errors.suppress("resignation"):
            parts.contact_manager.leave()
        if self._settings.leave_accept_ms:
            parts.caller_server.start_draining()
            with trio.move_on_at(accept_until - DEPARTURE_SECONDS):
                await self._wait_until_noticed(parts)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._resign, parts)
            with trio.move_on_at(grace_until) as scope:
                await self._leave(parts, listeners, accept_until)
        if scope.cancelled_caught:
            self._log.warn("grace_exceeded", in_progress=parts.watch.n_watched)
        sockets.close_listener(listeners.peer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(parts.peer_server.close)
            nursery.start_soon(self._close_control_servers, parts, listeners)

    async def _wait_until_noticed(self, parts: _parts.DaemonParts) -> None:
        """Return once failed readiness checks have told callers to go elsewhere."""
        n_failures = self._settings.n_ready_failures
        if not n_failures:
            await trio.sleep_forever()
        await parts.readiness.wait_until_failed(n_failures)

    async def _resign(self, parts: _parts.DaemonParts) -> None:
        with trio.move_on_after(RESIGN_TIMEOUT_SECONDS):
            with self.errors.suppress("resignation"):
                await parts.contact_manager.resign()

    async def _leave(
        self, parts: _parts.DaemonParts, listeners: _Listeners, accept_until: float
    ) -> None:
        """Gossip the departure, close the caller's listener and finish all calls.

        The listener stays open for calls that the upstream makes while it finishes the
        calls of peers, at most until ``accept_until``.
        """
        has_drained = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain_endpoint, parts, has_drained)
            with trio.move_on_at(accept_until):
                await has_drained.wait()
            sockets.close_listener(listeners.caller)
            parts.caller_server.start_closing()
            await has_drained.wait()
            await parts.caller_server.wait_closed()

    async def _drain_endpoint(
        self, parts: _parts.DaemonParts, has_drained: trio.Event
    ) -> None:
        """Gossip the departure, then refuse new calls and finish those in progress.

        Peers that have not heard of the departure yet are served until then.
        """
        left_at = trio.current_time()
        with self.errors.suppress("departure"):
            parts.state_updater.leave()
            with trio.move_on_at(left_at + FINAL_GOSSIP_SECONDS):
                await parts.exchange.deliver_own_record()
        await trio.sleep_until(left_at + ARRIVAL_SECONDS)
        with self.errors.suppress("departure"):
            parts.state_updater.refuse_calls()
        parts.peer_server.start_closing()
        await parts.endpoint.wait_until_idle()
        has_drained.set()

    async def _close_control_servers(
        self, parts: _parts.DaemonParts, listeners: _Listeners
    ) -> None:
        """Answer the control requests that have arrived, and take no more."""
        servers = self._list_control_servers(parts, listeners)
        for listener, server in servers:
            sockets.close_listener(listener)
            server.start_closing()
        with trio.move_on_after(CONTROL_CLOSE_SECONDS):
            for _, server in servers:
                await server.wait_closed()
