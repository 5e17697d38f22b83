"""Answer to the question where a request would go now, without sending it."""

import copy

import trio

from umberdrum import accounts, admin, callpath, membership, routing

MS_PER_SECOND = 1000.0


class PlacementExplainer:
    """Tells where a request would go, with the code that decides it for calls.

    The router is copied for each question, with its random numbers and statistics, so
    that a question changes nothing.
    """

    def __init__(
        self,
        matcher: callpath.CallMatcher,
        directory: membership.MembershipDirectory,
        entry: callpath.EntryService,
        endpoint: callpath.EndpointService,
        availability_zone: str,
    ) -> None:
        self._matcher = matcher
        self._directory = directory
        self._entry = entry
        self._endpoint = endpoint
        self._availability_zone = availability_zone

    async def explain(self, question: admin.WhereQuestion) -> admin.WhereReport:
        """Return the route, the account, the candidates and the choice."""
        report: admin.WhereReport = {
            "version": self._matcher.version,
            "route": "",
            "service": "",
            "account": question.account,
            "allotment": "",
            "outcome": "",
            "endpoint": "",
            "zone": "",
            "leaves_zone_for": "",
            "expected_ms": 0.0,
            "admission": "",
            "zones": [],
            "candidates": [],
        }
        fields = callpath.CallFields(question.host, "", -1, -1, None, False)
        matched = self._matcher.match(fields, question.method, question.path.encode())
        if matched.is_error():
            report["outcome"] = f"refused: {matched.error.detail}"
            return report
        request_class = matched.ok.request_class
        report["route"] = request_class.name
        report["service"] = request_class.service
        refusal = await self._explain_account(report, matched.ok.policy.is_public)
        if refusal:
            report["outcome"] = f"refused: {refusal}"
            return report
        slack_seconds = request_class.target.latency_ms / MS_PER_SECOND
        attributes = routing.CallAttributes(question.n_body_bytes, slack_seconds)
        self._place(report, attributes)
        return report

    async def _explain_account(self, report: admin.WhereReport, is_public: bool) -> str:
        """Fill in the account; return why the request would be refused, if it would."""
        table = self._matcher.accounts
        if table is None:
            report["allotment"] = "the configuration has no accounts"
            return ""
        account = table.get(report["account"])
        if account is None:
            report["allotment"] = "none"
            if is_public:
                return ""
            return "the route needs the key of a client account"
        report["allotment"] = _describe_allotment(account)
        failure = await self._entry.find_allotment_refusal(account)
        if failure is None:
            return ""
        seconds = failure.retry_after_ms / MS_PER_SECOND
        return f"{failure.detail}; come back in {seconds:.2f} s"

    def _place(
        self, report: admin.WhereReport, attributes: routing.CallAttributes
    ) -> None:
        service = report["service"]
        now = trio.current_time()
        candidates = self._directory.list_candidates(service)
        router = copy.deepcopy(self._entry.router)
        rooms: dict[str, admin.ZoneRoom] = {}
        for candidate in candidates:
            row = self._describe_candidate(candidate, now)
            report["candidates"].append(row)
            zone = candidate.availability_zone
            if zone not in rooms:
                rooms[zone] = {
                    "zone": zone,
                    "is_own": zone == self._availability_zone,
                    "n_endpoints": 0,
                    "n_slots": 0,
                    "n_reported": 0,
                }
            rooms[zone]["n_endpoints"] += 1
            rooms[zone]["n_slots"] += candidate.n_slots
            rooms[zone]["n_reported"] += row["n_reported"] or 0
        report["zones"] = [rooms[zone] for zone in sorted(rooms)]
        decision = router.choose(
            report["route"], candidates, frozenset(), now, attributes
        )
        if decision is None:
            is_drained = self._directory.is_drained(service)
            reason = "all its zones are drained" if is_drained else "none is known"
            report["outcome"] = f"refused: no endpoint of {service}, {reason}"
            return
        report["outcome"] = f"sent, as decided by {decision.policy}"
        report["endpoint"] = decision.candidate.key
        report["zone"] = decision.candidate.availability_zone
        report["leaves_zone_for"] = decision.leaves_zone_for or ""
        report["expected_ms"] = round(decision.expected_ms, 1)
        report["admission"] = self._describe_admission(decision)

    def _describe_candidate(
        self, candidate: routing.Candidate, now: float
    ) -> admin.WhereCandidate:
        stats = self._entry.router.get_endpoint_stats(candidate.key)
        n_reported: int | None = None
        age_ms: float | None = None
        wait_ms = 0.0
        slowness = 1.0
        if stats is not None:
            slowness = stats.get_slowness(now)
            wait_ms = stats.get_limit_wait_seconds(now) * MS_PER_SECOND
            if stats.report is not None and stats.reported_at is not None:
                n_reported = stats.report.n_calls
                age_ms = round((now - stats.reported_at) * MS_PER_SECOND, 1)
        return {
            "endpoint": candidate.key,
            "zone": candidate.availability_zone,
            "n_slots": candidate.n_slots,
            "n_reported": n_reported,
            "age_ms": age_ms,
            "slowness": round(slowness, 2),
            "limit_wait_ms": round(wait_ms, 1),
            "is_suspected": candidate.is_suspected,
        }

    def _describe_admission(self, decision: routing.RoutingDecision) -> str:
        """Return what the endpoint's gate would find now, as far as it is known."""
        if decision.candidate.is_local:
            gate = self._endpoint.gate
            limit = gate.slot_limit.get_limit()
            return _describe_room(gate.n_running, gate.n_queued, limit, "now")
        stats = self._entry.router.get_endpoint_stats(decision.candidate.key)
        if stats is None or stats.report is None:
            return "its load is not known here"
        load = stats.report
        age_ms = decision.report_age_ms or 0.0
        return _describe_room(
            load.n_running, load.n_queued, load.slot_limit, f"{age_ms:.0f} ms ago"
        )


def _describe_room(n_running: int, n_queued: int, limit: int, when: str) -> str:
    state = "a slot is free" if n_running < limit else "it would wait"
    return f"{state}: {n_running} of {limit} slots in use, {n_queued} waiting, {when}"


def _describe_allotment(account: accounts.Account) -> str:
    if not account.is_limited:
        return "no limit"
    return f"{account.rate_per_second:g} a second, burst {account.burst:g}"
