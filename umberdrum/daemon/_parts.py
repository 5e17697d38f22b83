"""Parts of one daemon, wired together."""

import random

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
STORE_TIMEOUT_SECONDS = 2.0
MS_PER_SECOND = 1000.0


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
