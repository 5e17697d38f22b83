"""Parts of one daemon and the connections between them."""

import random

import trio

from umberdrum import (
    accounts,
    admin,
    admission,
    announcements,
    callpath,
    classes,
    configuration,
    controlhttp,
    crashes,
    gossip,
    logs,
    measuring,
    membership,
    outcomes,
    peerlink,
    retries,
    routetable,
    routing,
    settings,
    store,
    supervision,
    wire,
    zones,
)
from umberdrum.daemon import (
    _allotments,
    _endpoint_state,
    _integration,
    _metric_page,
    _readiness,
    _reporter,
    _startup_probe,
)

INITIAL_SLOT_LIMIT = 1
CATALOG_PUSH_FANOUT = 5
ZONE_SPILL_POLICY = "zone_spill"
RETRY_LIMIT_SAFETY_FACTOR = 0.5
MS_PER_SECOND = 1000.0


class DaemonParts:
    """Builds and connects all parts of one daemon."""

    def __init__(
        self,
        own_settings: settings.Settings,
        identity: peerlink.DaemonIdentity,
        budget: measuring.MeasuringBudget,
        rng: random.Random,
        log: logs.EventLog,
        writer: logs.LineWriter,
        tasks: supervision.TaskSupervisor,
        integration: _integration.Integration,
        started_at: float,
    ) -> None:
        key = own_settings.cluster_key
        self._log = log
        dialect = integration.dialect
        self._tasks = tasks
        self._settings = own_settings
        self.statistics = callpath.CallStatistics()
        self.table = membership.MembershipTable(
            _build_own_record(own_settings, identity)
        )
        self.routes = _build_routes(integration, log)
        self.state = gossip.SharedState(
            self.table, log, self.routes.read_version if self.routes else None
        )
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
            self.table,
            self.exchange.request_probe,
            prefers_own_zone=own_settings.routing_policy == ZONE_SPILL_POLICY,
        )
        self.watch = callpath.LivenessWatch(tasks.errors)
        self.upstream_pool = callpath.UpstreamPool(dialect)
        gate = _build_gate(own_settings)
        gate.rate_limiter.cold_tolerance = admission.ColdTolerance(
            own_settings.cold_factor, own_settings.n_cold_extra
        )
        cold_start = callpath.ColdStart(gate, self._get_cold_rate, log)
        self.prober = callpath.UpstreamProber(
            self.upstream_pool,
            gate,
            budget,
            dialect,
            self._get_health_path,
            log,
            cold_start,
        )
        self.endpoint = callpath.EndpointService(
            gate,
            outcomes.OutcomeRecord(),
            self.upstream_pool,
            budget,
            log,
            tasks,
            dialect,
            self.prober,
            self.state.crashes,
        )
        self.endpoint.crash_guard.on_marks = self._publish_crash_marks
        self._class_matcher = callpath.ClassMatcher(self.exchange.expects_documents)
        self.matcher: callpath.CallMatcher = self._class_matcher
        if self.routes is not None:
            self.matcher = callpath.RouteMatcher(
                self.routes, rng, self.exchange.expects_documents
            )
        self.allotments = _allotments.AllotmentParts(
            self.table,
            self.exchange,
            self._get_accounts,
            own_settings.n_allotment_slack,
            started_at,
            tasks,
        )
        self.peer_client = callpath.PeerClient(self.peer_pool, self.watch)
        self.entry = callpath.EntryService(
            self.directory,
            routing.build_router(
                own_settings.routing_policy,
                own_settings.availability_zone,
                own_settings.region,
                rng,
            ),
            self.endpoint,
            self.peer_client,
            self.statistics,
            log,
            tasks,
            self.matcher,
            retries.RetryBudgetRegistry(
                _build_shared_retry_limit(own_settings), lambda: len(self.table)
            ),
            dialect,
            own_settings.own_service,
            self.allotments.client,
        )
        if own_settings.routing_policy == ZONE_SPILL_POLICY:
            self.exchange.get_load = self._get_own_load
            self.exchange.on_load = self._record_load
        self.zone_drains = zones.ZoneDrains(integration.zone_drains_prefix, log)
        self.zone_drains.add_listener(self._apply_zone_drains)
        self.state.add_catalog_listener(self._apply_catalog)
        self.peer_server = callpath.PeerServer(
            identity, key, self.endpoint, self.watch, self.synchronizer, log
        )
        self.caller_server = callpath.CallerServer(
            self.entry,
            self.watch,
            self._get_caller_limits,
            identity.daemon_id,
            tasks.errors,
            dialect,
        )
        self.state_updater = _endpoint_state.EndpointStateUpdater(
            self.endpoint,
            self.upstream_pool,
            self.prober,
            cold_start,
            self.state,
            self.exchange,
            tasks,
        )
        self.announcement_tracker = announcements.AnnouncementTracker(
            self.state_updater,
            own_settings.announcement_timeout_seconds,
            log,
        )
        self.announcement_tracker.on_run_ended = self.state_updater.mark_ended_run
        self.announcement_tracker.knows_service = self._knows_service
        self.announcement_tracker.start_hold()
        self.state.on_predecessor = self._recall_ended_run
        counter = store.StoreCallCounter()
        counter.on_health_change = self._log_store_health
        self.startup_probe = _startup_probe.StartupProbe(
            own_settings,
            self.table,
            self.announcement_tracker,
            self.upstream_pool,
            dialect,
            self._get_health_path,
            cold_start,
            log,
        )
        self.endpoint.relay.on_misdirected = self._mark_misdirected_absent
        self.endpoint.notices.on_leaving = self.announcement_tracker.end_run
        self.announce_server = controlhttp.ControlServer(
            integration.build_announcement_handler(self.announcement_tracker)
        )
        self._store = integration.build_store(own_settings, counter)
        self._store.eras.on_change = self._handle_new_era
        prefix = own_settings.store_prefix
        documents_prefix = configuration.build_documents_prefix(prefix)
        if integration.routes is not None:
            documents_prefix = integration.routes.keys_prefix
        watcher = configuration.ConfigurationWatcher(
            self._store,
            documents_prefix,
            self.state,
            rng,
            log,
            own_settings.store_recovery_seconds,
        )
        self.contact_manager = configuration.ContactManager(
            self._store,
            counter,
            configuration.ContactKeys(
                prefix,
                own_settings.availability_zone,
                own_settings.n_contacts_per_zone,
                own_settings.min_contacts,
            ),
            self.state,
            self.exchange,
            watcher,
            own_settings.seeds,
            rng,
            log,
            own_settings.store_spread_seconds,
        )
        self.reporter = _reporter.DaemonReporter(
            own_settings,
            self.state,
            self.exchange,
            self.entry,
            self.endpoint,
            self.directory,
            self.announcement_tracker,
            budget,
            counter,
            self.routes,
            self.zone_drains,
            self.matcher,
        )
        self.readiness = _readiness.ReadinessCheck(self.reporter.is_ready)
        readiness_handler: controlhttp.ControlHandler = _refuse_request
        if integration.build_readiness_handler is not None:
            readiness_handler = integration.build_readiness_handler(
                self.readiness.check
            )
        self.ready_server = controlhttp.ControlServer(readiness_handler)
        metric_page = _metric_page.MetricPage(
            _metric_page.MetricSources(
                self.endpoint,
                self.upstream_pool,
                self.peer_pool,
                self.peer_client,
                self.watch,
                self.state,
                self.exchange,
                self.synchronizer,
                budget,
                counter,
                self._store.eras,
                watcher,
                writer,
                self.statistics,
                self.announcement_tracker,
                self.routes,
                tasks.errors,
                self.entry.account_usage,
                self.allotments,
                self.zone_drains,
            )
        )
        admin_handler = admin.AdminHandler(self.reporter, metric_page.render)
        self.admin_server = controlhttp.ControlServer(admin_handler.handle)

    def close(self) -> None:
        """Close bound sockets, idle connections and the store client."""
        self.exchange.close()
        self.peer_pool.close_all()
        self.upstream_pool.close_all()
        self._store.close()

    def _apply_catalog(self, catalog: classes.Catalog) -> None:
        self._class_matcher.catalog = catalog
        self.zone_drains.apply_catalog(catalog)
        if self.routes is not None:
            self.routes.apply_catalog(catalog)
        self._tasks.start_soon(self.exchange.push_updates, CATALOG_PUSH_FANOUT)

    def _handle_new_era(self, previous: int, era: int) -> None:
        self._log.warn("store_restored", previous_era=previous, era=era)
        self.contact_manager.handle_new_era()

    def _publish_crash_marks(self, marks: list[crashes.CrashMark]) -> None:
        for mark in marks:
            self.state.updates.add_crash_mark(mark)
        self._tasks.start_soon(self.exchange.push_crash_marks, marks)

    def _get_health_path(self, service: str) -> str:
        """Return the health path of upstreams of ``service``, empty if unknown."""
        if self.routes is None or self.routes.table is None:
            return ""
        return self.routes.table.health_paths.get(service, "")

    def _get_own_load(self) -> wire.messages.LoadReport | None:
        """Return the load of the own endpoint, None if it takes no calls."""
        load = self.endpoint.build_gossip_load(trio.current_time())
        return callpath.encode_load(load) if load is not None else None

    def _record_load(self, key: str, load: wire.messages.LoadReport) -> None:
        report = callpath.decode_load(load)
        self.entry.router.record_load(key, report, trio.current_time())

    def _get_accounts(self) -> accounts.AccountTable | None:
        """Return the client accounts in force, None if there are none."""
        if self.routes is None or self.routes.table is None:
            return None
        return self.routes.table.accounts

    def _get_cold_rate(self, service: str) -> float:
        """Return what a cold upstream of ``service`` bears, 0 if not known."""
        if self.routes is None or self.routes.table is None:
            return 0.0
        return self.routes.table.cold_rates.get(service, 0.0)

    def _apply_zone_drains(self, drained: frozenset[str]) -> None:
        self.directory.set_drained_zones(drained)
        own_zone = self._settings.availability_zone
        self.endpoint.set_zone_drained(own_zone in drained)

    def _log_store_health(self, is_answering: bool, reason: str) -> None:
        if is_answering:
            self._log.write("dependency_regained", name="store")
            return
        self._log.warn("dependency_lost", name="store", reason=reason)

    def _recall_ended_run(self, predecessor: membership.EndpointRecord) -> None:
        self.announcement_tracker.recall_end(predecessor.ended_run)

    def _knows_service(self, service: str) -> bool:
        """Return whether the settings or the routes in force name a service.

        Without a service in the settings, upstreams of any service may be announced.
        """
        own_service = self._settings.own_service
        if not own_service or service == own_service:
            return True
        table = self.routes.table if self.routes is not None else None
        return table is not None and service in table.health_paths

    def _mark_misdirected_absent(self) -> None:
        self.announcement_tracker.mark_absent("misdirected")

    def _get_caller_limits(self) -> callpath.CallerLimits:
        """Return the limits for callers, from the route table or else the settings."""
        own = self._settings
        limits = callpath.CallerLimits(
            own.max_head_bytes,
            own.head_timeout_ms / MS_PER_SECOND,
            own.body_idle_timeout_ms / MS_PER_SECOND,
            own.idle_timeout_ms / MS_PER_SECOND,
        )
        if self.routes is None or self.routes.table is None:
            return limits
        bounds = self.routes.table.bounds
        return limits._replace(
            max_head_bytes=bounds.max_head_bytes,
            head_timeout_seconds=bounds.head_timeout_ms / MS_PER_SECOND,
            idle_timeout_seconds=bounds.idle_timeout_ms / MS_PER_SECOND,
            max_body_bytes=bounds.max_body_bytes,
        )


def _build_own_record(
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


def _build_gate(own_settings: settings.Settings) -> admission.Gate:
    if own_settings.admission_policy == "target":
        return admission.TargetGate(admission.KneeSlotLimit(INITIAL_SLOT_LIMIT))
    return admission.EarlyRefusalGate(admission.LatencySlotLimit(INITIAL_SLOT_LIMIT))


def _build_routes(
    integration: _integration.Integration, log: logs.EventLog
) -> routetable.RouteTableSource | None:
    document = integration.routes
    if document is None:
        return None
    return routetable.RouteTableSource(document.name, document.read, log)


def _build_shared_retry_limit(
    own_settings: settings.Settings,
) -> retries.SharedRetryLimit | None:
    if not own_settings.shared_retries:
        return None
    return retries.SharedRetryLimit(
        own_settings.shared_retries,
        own_settings.shared_retry_share,
        RETRY_LIMIT_SAFETY_FACTOR,
    )


async def _refuse_request(
    request: controlhttp.ControlRequest,
) -> controlhttp.ControlResponse:
    return controlhttp.build_text_response("not found\n", 404)
