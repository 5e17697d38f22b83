"""Documents of the admin address, built from the parts of the daemon."""

import math

import trio

from umberdrum import (
    accounts,
    admin,
    announcements,
    callpath,
    classes,
    gossip,
    measuring,
    membership,
    routetable,
    settings,
    store,
    zones,
)
from umberdrum.daemon import _where

MS_PER_SECOND = 1000.0


class DaemonReporter:
    """Reports the daemon's state and routing, and forwards drain orders.

    It implements ``admin.DaemonView``.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        state: gossip.SharedState,
        exchange: gossip.GossipExchange,
        entry: callpath.EntryService,
        endpoint: callpath.EndpointService,
        directory: membership.MembershipDirectory,
        tracker: announcements.AnnouncementTracker,
        budget: measuring.MeasuringBudget,
        counter: store.StoreCallCounter,
        routes: routetable.RouteTableSource | None,
        zone_drains: zones.ZoneDrains,
        matcher: callpath.CallMatcher,
    ) -> None:
        self._explainer = _where.PlacementExplainer(
            matcher, directory, entry, endpoint, own_settings.availability_zone
        )
        self._zone_drains = zone_drains
        self._routes = routes
        self._settings = own_settings
        self._state = state
        self._exchange = exchange
        self._entry = entry
        self._endpoint = endpoint
        self._directory = directory
        self._tracker = tracker
        self._budget = budget
        self._counter = counter
        self.is_stopping = False

    def is_ready(self) -> bool:
        """Return whether the daemon has routes or classes and is not stopping."""
        if self.is_stopping:
            return False
        if self._routes is not None:
            return self._routes.table is not None
        return bool(self._state.catalog.list_classes())

    def set_drain_ordered(self, is_ordered: bool) -> None:
        """Set or lift the order to drain the local upstream."""
        self._tracker.set_drain_ordered(is_ordered)

    def build_status(self) -> admin.StatusReport:
        """Return the state of the daemon and of all endpoints known to it."""
        now = trio.current_time()
        own = self._state.table.own
        class_reports = [
            self._report_class(request_class, now)
            for request_class in self._list_classes()
        ]
        records = sorted(self._state.table.records)
        return {
            "daemon": own.endpoint_id,
            "zone": own.availability_zone,
            "region": own.region,
            "ready": self.is_ready(),
            "catalog_revision": self._state.catalog.revision,
            "drained_zones": sorted(self._zone_drains.zones),
            "classes": class_reports,
            "endpoints": [self._report_endpoint(record) for record in records],
            "measuring_bytes_per_second": self._budget.bytes_per_second,
            "measuring_bytes_last_second": self._budget.get_window_bytes(now),
            "n_store_calls": self._counter.total,
            "n_control_bytes": (
                self._exchange.n_bytes_sent + self._exchange.n_bytes_received
            ),
        }

    def list_accounts(self) -> list[admin.AccountReport]:
        """Return the client accounts in force, those with most requests first."""
        table = self._routes.table if self._routes is not None else None
        if table is None or table.accounts is None:
            return []
        counted = {
            row.account: row
            for row in self._entry.account_usage.list_largest(len(table.accounts))
        }
        reports: list[admin.AccountReport] = []
        for account in table.accounts.accounts:
            usage = counted.get(account.name, accounts.UsageRow(account.name))
            reports.append(
                {
                    "account": account.name,
                    "priority": account.priority,
                    "rate_per_second": account.rate_per_second,
                    "burst": account.burst,
                    "n_keys": len(account.key_digests),
                    "n_asked": usage.n_asked,
                    "n_served": usage.n_served,
                    "n_over_limit": usage.n_over_limit,
                    "n_refused": usage.n_refused,
                    "n_failed": usage.n_failed,
                }
            )
        reports.sort(key=lambda row: (-row["n_asked"], row["account"]))
        return reports

    async def explain_where(self, question: admin.WhereQuestion) -> admin.WhereReport:
        """Return where a request would go now, and why, without sending it."""
        return await self._explainer.explain(question)

    def explain(self, service: str, method: str, path: str) -> admin.ExplainReport:
        """Return how a call would be routed now, with the candidates and the reason."""
        now = trio.current_time()
        normalized_path = callpath.normalize_path(path.encode("utf-8", "replace"))
        matched = self._state.catalog.match(service, method, normalized_path)
        report: admin.ExplainReport = {
            "service": service,
            "method": method,
            "path": normalized_path,
            "cls": "",
            "is_idempotent": False,
            "deadline_ms": 0,
            "hedge_after_ms": 0,
            "chosen": "",
            "expected_ms": 0.0,
            "policy": self._settings.routing_policy,
            "candidates": [],
            "reason": "",
        }
        if matched is None:
            report["reason"] = "no class matches the request"
            return report
        report["cls"] = matched.request_class.name
        report["is_idempotent"] = matched.request_class.is_idempotent
        report["deadline_ms"] = matched.policy.deadline_ms
        report["hedge_after_ms"] = matched.policy.hedge_after_ms
        decision = self._entry.choose(service, matched.request_class.name, frozenset())
        for candidate in self._directory.list_candidates(service):
            report["candidates"].append(
                {
                    "endpoint": candidate.key,
                    "zone": candidate.availability_zone,
                    "is_suspected": candidate.is_suspected,
                    **self._report_load(candidate.key, now),
                }
            )
        if decision is None:
            report["reason"] = f"no endpoint announces the service {service!r}"
            return report
        report["chosen"] = decision.candidate.key
        report["expected_ms"] = decision.expected_ms
        report["reason"] = (
            f"best of {decision.n_considered} considered by {decision.policy}"
        )
        return report

    def _list_classes(self) -> list[classes.RequestClass]:
        return self._state.catalog.list_classes()

    def _report_class(
        self, request_class: classes.RequestClass, now: float
    ) -> admin.ClassReport:
        target = request_class.target
        report = self._entry.statistics.report(request_class, now)
        entry = self._state.catalog.get_entry(request_class.name)
        achieved_ms = report.achieved_ms
        return {
            "name": request_class.name,
            "service": request_class.service,
            "revision": entry.revision if entry else 0,
            "target_ms": target.latency_ms,
            "percentile": target.percentile,
            "n_calls": report.n_calls,
            "n_failed": report.n_failed,
            "share_within": round(report.share_within, 3),
            "achieved_ms": None if math.isinf(achieved_ms) else round(achieved_ms, 2),
            "holds": report.is_met,
            "reason": self._explain_miss(request_class, report),
        }

    def _explain_miss(
        self, request_class: classes.RequestClass, report: callpath.TargetReport
    ) -> str:
        """Return why a class misses its target at this daemon, empty if it does not."""
        if report.is_met:
            return ""
        candidates = self._directory.list_candidates(request_class.service)
        if not candidates:
            return "no endpoint announces the service"
        if report.n_failed > report.n_calls * (
            1 - request_class.target.percentile / 100
        ):
            return f"{report.n_failed} of {report.n_calls} calls failed or were refused"
        return "answers are slower than the target"

    def _report_endpoint(
        self, record: membership.EndpointRecord
    ) -> admin.EndpointReport:
        n_running: int | None = None
        n_queued: int | None = None
        if record.endpoint_id == self._state.table.own.endpoint_id:
            n_running = self._endpoint.gate.n_running
            n_queued = self._endpoint.gate.n_queued
        else:
            stats = self._entry.router.get_endpoint_stats(record.key)
            if stats is not None and stats.report is not None:
                n_running = stats.report.n_running
                n_queued = stats.report.n_queued
        return {
            "endpoint": record.endpoint_id,
            "service": record.service,
            "zone": record.availability_zone,
            "region": record.region,
            "state": "left" if record.is_final else record.state.name.lower(),
            "slots": record.n_slots,
            "incarnation": record.incarnation,
            "is_suspected": record.is_suspected,
            "is_contact": record.is_contact,
            "n_running": n_running,
            "n_queued": n_queued,
        }

    def _report_load(self, key: str, now: float) -> "admin.CandidateLoad":
        stats = self._entry.router.get_endpoint_stats(key)
        if stats is None:
            return {
                "n_outstanding": 0,
                "n_reported": None,
                "slowness": 1.0,
                "network_ms": 0.0,
            }
        n_reported = None
        if stats.report is not None:
            n_reported = stats.report.n_calls
        return {
            "n_outstanding": stats.n_outstanding,
            "n_reported": n_reported,
            "slowness": round(stats.get_slowness(now), 3),
            "network_ms": round(stats.network_seconds * MS_PER_SECOND, 3),
        }
