"""One daemon: its parts, its tasks, and an orderly stop."""

import logging
import random
import socket
from typing import NamedTuple

import prometheus_client
import trio

from umberdrum import (
    admin,
    admission,
    announcements,
    callpath,
    classes,
    configuration,
    controlhttp,
    gossip,
    logs,
    measuring,
    membership,
    outcomes,
    peerlink,
    routing,
    settings,
    sockets,
    store,
)
from umberdrum.daemon import _endpoint_state, _metrics, _view

INITIAL_SLOTS = 1
MAX_CONTROL_CONNECTIONS = 64
MAX_PEER_CONNECTIONS = 4096
MAINTENANCE_SECONDS = 1.0
FINAL_NEWS_SECONDS = 1.0
STORE_TIMEOUT_SECONDS = 2.0
RESIGN_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000.0
PROCESS_ID_BITS = 63


class _Listeners(NamedTuple):
    """Listening TCP sockets of the daemon."""

    caller: socket.socket
    peer: socket.socket
    admin: socket.socket
    announce: socket.socket


class Daemon:
    """The process beside one upstream.

    It is built from checked settings, runs until ``stop`` is called and then leaves in
    order: it refuses new work, tells the others, waits for calls in progress, and ends.
    A test passes an ``rng`` of its own to make random choices repeatable.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        logger: logging.Logger,
        writer: logs.LineWriter,
        rng: random.Random | None = None,
    ) -> None:
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
        self.parts: DaemonParts | None = None

    async def wait_stopped(self) -> None:
        """Return once ``run`` has ended in order."""
        await self._stopped.wait()

    def stop(self) -> None:
        """Begin an orderly stop."""
        self._stop_requested.set()

    def reload(self, changed: settings.Settings) -> None:
        """Take the settings that may change while the daemon runs."""
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
        """Bind all addresses and serve until stopped; raises ``OSError``."""
        listeners = self._bind()
        try:
            await self._serve(listeners, task_status)
        finally:
            for listener in listeners:
                sockets.close_listener(listener)
            if self.parts is not None:
                self.parts.close()
        self._log.write("stopped")
        self._stopped.set()

    async def _serve(
        self, listeners: _Listeners, task_status: trio.TaskStatus[None]
    ) -> None:
        async with trio.open_nursery() as nursery:
            parts = DaemonParts(
                self._settings,
                self._identity,
                self._budget,
                self._rng,
                self._log,
                self._writer,
                nursery,
            )
            self.parts = parts
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
            await self._leave(parts, listeners)
            nursery.cancel_scope.cancel()

    def _bind(self) -> _Listeners:
        own = self._settings
        return _Listeners(
            sockets.bind_tcp(own.caller_listen),
            sockets.bind_tcp(own.peer_listen),
            sockets.bind_tcp(own.admin_listen),
            sockets.bind_tcp(own.announce_listen),
        )

    def _start_tasks(
        self, parts: "DaemonParts", listeners: _Listeners, nursery: trio.Nursery
    ) -> None:
        accept = sockets.accept_connections
        n_callers = self._settings.max_connections
        nursery.start_soon(
            accept, listeners.caller, parts.caller_server.serve, n_callers
        )
        nursery.start_soon(
            accept, listeners.peer, parts.peer_server.serve, MAX_PEER_CONNECTIONS
        )
        nursery.start_soon(
            accept, listeners.admin, parts.serve_admin, MAX_CONTROL_CONNECTIONS
        )
        nursery.start_soon(
            accept, listeners.announce, parts.serve_announce, MAX_CONTROL_CONNECTIONS
        )
        nursery.start_soon(parts.exchange.run)
        nursery.start_soon(parts.keeper.run)
        nursery.start_soon(parts.desk.watch_timeout)
        nursery.start_soon(parts.entry.hedger.run)
        nursery.start_soon(parts.watch.run)
        nursery.start_soon(self._maintain, parts)

    async def _maintain(self, parts: "DaemonParts") -> None:
        """Close what has been idle for long and forget endpoints that are gone."""
        while True:
            await trio.sleep(MAINTENANCE_SECONDS)
            now = trio.current_time()
            parts.peer_pool.close_idle(now)
            parts.upstream_pool.close_idle(now)
            parts.entry.router.forget(parts.directory.list_keys())

    async def _leave(self, parts: "DaemonParts", listeners: _Listeners) -> None:
        """Refuse new work, finish what is in progress and take leave of the others."""
        self._log.write("stopping", in_progress=parts.watch.n_watched)
        parts.reporter.is_stopping = True
        parts.state_keeper.leave()
        sockets.close_listener(listeners.caller)
        parts.caller_server.start_closing()
        leave_until = trio.current_time() + FINAL_NEWS_SECONDS
        with trio.move_on_after(self._settings.grace_ms / MS_PER_SECOND) as scope:
            await parts.endpoint.wait_until_idle()
            await parts.caller_server.wait_until_idle()
        if scope.cancelled_caught:
            self._log.warn("grace_exceeded", in_progress=parts.watch.n_watched)
        with trio.move_on_after(RESIGN_TIMEOUT_SECONDS):
            await parts.keeper.resign()
        await trio.sleep_until(leave_until)


class DaemonParts:
    """Everything that one daemon consists of, wired together."""

    def __init__(
        self,
        own_settings: settings.Settings,
        identity: peerlink.DaemonIdentity,
        budget: measuring.MeasuringBudget,
        rng: random.Random,
        log: logs.EventLog,
        writer: logs.LineWriter,
        nursery: trio.Nursery,
    ) -> None:
        key = own_settings.cluster_key
        self.registry = prometheus_client.CollectorRegistry()
        self.table = membership.MembershipTable(_build_record(own_settings, identity))
        self.state = gossip.SharedState(self.table, log)
        self.peer_pool = peerlink.PeerLinkPool(identity, key)
        self.synchronizer = gossip.PeerSynchronizer(self.state, self.peer_pool)
        self.exchange = gossip.GossipExchange(
            self.state,
            self.synchronizer,
            gossip.DatagramCodec(key, identity.process_id),
            own_settings.peer_listen,
            rng,
            log,
        )
        self.directory = membership.MembershipDirectory(
            self.table, self.exchange.request_probe
        )
        self.watch = callpath.LivenessWatch()
        self.upstream_pool = callpath.UpstreamPool()
        self.endpoint = callpath.EndpointService(
            admission.AdmissionGate(admission.LatencySlotLimit(INITIAL_SLOTS)),
            outcomes.OutcomeRecord(),
            self.upstream_pool,
            budget,
            log,
            nursery,
        )
        self.peer_leg = callpath.PeerLeg(self.peer_pool, self.watch)
        self.entry = callpath.EntryService(
            self.directory,
            routing.build_router(
                own_settings.routing_policy,
                own_settings.availability_zone,
                own_settings.region,
                rng,
            ),
            self.endpoint,
            self.peer_leg,
            callpath.CallStatistics(self.registry),
            log,
            nursery,
        )
        self.state.add_catalog_listener(self._use_catalog)
        self.peer_server = callpath.PeerServer(
            identity, key, self.endpoint, self.watch, self.synchronizer, log
        )
        self.caller_server = callpath.CallerServer(
            self.entry, self.watch, _build_limits(own_settings), identity.daemon_id
        )
        self.state_keeper = _endpoint_state.EndpointStateKeeper(
            self.endpoint, self.upstream_pool, self.state, self.exchange, nursery
        )
        self.desk = announcements.AnnouncementDesk(
            self.state_keeper,
            own_settings.announcement_timeout_ms / MS_PER_SECOND,
            log,
        )
        counter = store.StoreCallCounter()
        self._store = store.EtcdStore(
            own_settings.store_addresses, counter, STORE_TIMEOUT_SECONDS
        )
        prefix = own_settings.store_prefix
        self.keeper = configuration.ContactKeeper(
            self._store,
            configuration.ContactKeys(
                prefix,
                own_settings.availability_zone,
                own_settings.n_contacts_per_zone,
            ),
            self.state,
            self.exchange,
            configuration.ConfigurationWatcher(
                self._store, prefix, self.state, rng, log
            ),
            own_settings.seeds,
            rng,
            log,
        )
        self.reporter = _view.DaemonReporter(
            own_settings,
            self.state,
            self.exchange,
            self.entry,
            self.endpoint,
            self.directory,
            self.desk,
            budget,
            counter,
        )
        self._admin_desk = admin.AdminDesk(self.reporter, self.registry)
        _metrics.register_metrics(
            _metrics.MetricSources(
                self.endpoint,
                self.upstream_pool,
                self.peer_pool,
                self.peer_leg,
                self.watch,
                self.state,
                self.exchange,
                self.synchronizer,
                budget,
                counter,
                writer,
            ),
            self.registry,
        )

    async def serve_admin(self, connection: sockets.Connection) -> None:
        """Serve one connection of the admin address."""
        await controlhttp.serve_control(connection, self._admin_desk.handle)

    async def serve_announce(self, connection: sockets.Connection) -> None:
        """Serve one connection of the announcement address."""
        await controlhttp.serve_control(connection, self.desk.handle)

    def close(self) -> None:
        """Close what is bound or kept open between calls."""
        self.exchange.close()
        self.peer_pool.close_all()
        self.upstream_pool.close_all()
        self._store.close()

    def _use_catalog(self, catalog: classes.Catalog) -> None:
        self.entry.catalog = catalog


def _build_record(
    own_settings: settings.Settings, identity: peerlink.DaemonIdentity
) -> membership.EndpointRecord:
    return membership.EndpointRecord(
        endpoint_id=identity.daemon_id,
        incarnation=1,
        process_id=identity.process_id,
        version=1,
        state=membership.RecordState.ABSENT,
        is_suspected=False,
        service="",
        availability_zone=own_settings.availability_zone,
        region=own_settings.region,
        n_slots=0,
        is_contact=False,
        is_final=False,
    )


def _build_limits(own_settings: settings.Settings) -> callpath.CallerLimits:
    return callpath.CallerLimits(
        own_settings.max_head_bytes,
        own_settings.head_timeout_ms / MS_PER_SECOND,
        own_settings.body_idle_timeout_ms / MS_PER_SECOND,
        own_settings.idle_timeout_ms / MS_PER_SECOND,
    )
