"""Tasks of one daemon and its graceful shutdown."""

import logging
import random
import socket
import time

import trio

from umberdrum import (
    allotments,
    logs,
    measuring,
    peerlink,
    settings,
    sockets,
    startup,
    supervision,
)
from umberdrum.daemon import _integration, _listeners, _parts, _shutdown, _startup_probe

MAX_CONTROL_CONNECTIONS = 64
MAX_PEER_CONNECTIONS = 4096
MAINTENANCE_INTERVAL_SECONDS = 1.0
MS_PER_SECOND = 1000.0
PROCESS_ID_BITS = 63


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
        self, listeners: _listeners.Listeners, task_status: trio.TaskStatus[None]
    ) -> None:
        async with trio.open_nursery() as nursery:
            tasks = supervision.TaskSupervisor(nursery, self.errors, self.fail)
            bound_seconds = time.monotonic() - self._bound_at
            parts = _parts.DaemonParts(
                self._settings,
                self._identity,
                self._budget,
                self._rng,
                self._log,
                self._writer,
                tasks,
                self._integration,
                allotments.get_clock() - bound_seconds,
            )
            self.parts = parts
            parts.caller_server.set_listening_since(trio.current_time() - bound_seconds)
            parts.exchange.bind()
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
            shutdown = _shutdown.Shutdown(
                parts, listeners, self._settings, self._log, self.errors
            )
            await shutdown.run()
            nursery.cancel_scope.cancel()

    def _bind(self) -> _listeners.Listeners:
        own = self._settings
        caller = self._pop_early_listener(own.caller_listen)
        announce = self._pop_early_listener(own.announce_listen)
        for listener in self._early_listeners:
            listener.close()
        return _listeners.Listeners(
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
        listeners: _listeners.Listeners,
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
            is_essential=True,
        )
        keep_running(
            "accept_peers",
            accept,
            listeners.peer,
            parts.peer_server.serve,
            MAX_PEER_CONNECTIONS,
            is_essential=True,
        )
        for listener, server in listeners.list_control_servers(parts):
            keep_running(
                "accept_control", server.accept, listener, MAX_CONTROL_CONNECTIONS
            )
        keep_running("prober", parts.prober.run)
        keep_running("startup_probe", parts.startup_probe.run)
        keep_running(
            "startup_hold",
            parts.announcement_tracker.end_hold_after,
            _startup_probe.GOSSIP_WAIT_SECONDS,
        )
        keep_running("gossip", parts.exchange.run)
        keep_running("contact_manager", parts.contact_manager.run)
        keep_running("announcements", parts.announcement_tracker.expire_announcements)
        keep_running("hedging", parts.entry.hedge_scheduler.run)
        keep_running("liveness_watch", parts.watch.run, is_essential=True)
        keep_running("allotments", parts.allotments.run)
        keep_running("maintenance", self._maintain, parts)

    async def _maintain(self, parts: _parts.DaemonParts) -> None:
        """Close idle connections and drop the statistics of removed endpoints."""
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            now = trio.current_time()
            parts.peer_pool.close_idle(now)
            parts.upstream_pool.close_idle(now)
            parts.entry.router.prune_endpoints(parts.directory.list_keys())
            parts.state.crashes.remove_expired(now)
