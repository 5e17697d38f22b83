"""Probe of the upstream by a daemon that has just started."""

import trio

from umberdrum import (
    announcements,
    callpath,
    logs,
    membership,
    settings,
    sockets,
)

PROBE_INTERVAL_SECONDS = 0.05
# Wait for gossip about the previous process at the daemon's address. Peers of the
# region answer a daemon's first datagram within a few ms, busy ones within 100 ms.
GOSSIP_WAIT_SECONDS = 0.15
PROBE_TIMEOUT_SECONDS = 0.5
MAX_PROBING_SECONDS = 5.0
HEALTHY_STATUS = 200


class StartupProbe:
    """Detects a running upstream with health probes until it announces itself.

    Without it, a daemon that restarts next to a running upstream would have no endpoint
    to offer until the next announcement. A successful probe yields the instance ID and
    the slots of the upstream, and shows that it is not leaving. A later announcement
    replaces the result.

    Some upstreams pass health probes until their process ends. If the upstream had
    stopped serving before the previous daemon process ended, that process's record at
    other daemons says so. The probe is then skipped, and only an announcement counts.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        table: membership.MembershipTable,
        tracker: announcements.AnnouncementTracker,
        pool: callpath.UpstreamPool,
        dialect: callpath.Dialect,
        health_paths: callpath.HealthPathSource,
        cold_start: callpath.ColdStart,
        log: logs.EventLog,
    ) -> None:
        self._cold_start = cold_start
        self._settings = own_settings
        self._table = table
        self._started_at = 0.0
        self._tracker = tracker
        self._pool = pool
        self._dialect = dialect
        self._health_paths = health_paths
        self._log = log

    async def run(self) -> None:
        """Probe until the upstream is known or ``MAX_PROBING_SECONDS`` have passed.

        By then the upstream has had time to announce itself.
        """
        address = self._settings.upstream_address
        service = self._settings.own_service
        if address is None or not service or not self._dialect.instance_id:
            return
        self._started_at = trio.current_time()
        with trio.move_on_after(MAX_PROBING_SECONDS):
            while self._tracker.announcement is None:
                path = self._health_paths(service)
                if path and self._may_probe():
                    await self._probe(address, service, path)
                await trio.sleep(PROBE_INTERVAL_SECONDS)

    def _may_probe(self) -> bool:
        """Return whether the record of the previous daemon process allows a probe.

        It does if the upstream was serving. Without a record, a probe is allowed once
        ``GOSSIP_WAIT_SECONDS`` have passed.
        """
        record = self._table.predecessor
        if record is None:
            return trio.current_time() - self._started_at >= GOSSIP_WAIT_SECONDS
        return record.state is membership.RecordState.SERVING

    async def _probe(self, address: settings.Address, service: str, path: str) -> None:
        self._pool.set_address(address)
        upstream: callpath.UpstreamConnection | None = None
        is_clean = False
        try:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                upstream = await self._pool.acquire()
                head = await upstream.fetch_head(path)
                is_clean = True
                if head.status == HEALTHY_STATUS:
                    self._record_response(address, service, head)
        except (callpath.UpstreamFailureError, sockets.ConnectionLostError) as fault:
            self._log.write("first_look_failed", reason=str(fault))
        finally:
            if upstream is not None:
                self._pool.release(upstream, is_clean)

    def _record_response(
        self, address: settings.Address, service: str, head: callpath.HttpResponseHead
    ) -> None:
        instance_id = callpath.get_header(head.headers, self._dialect.instance_id)
        value = callpath.get_header(head.headers, self._dialect.load_report)
        load = callpath.parse_upstream_load(value) if value else None
        if (
            instance_id is None
            or not callpath.is_visible_text(instance_id)
            or load is None
            or self._tracker.announcement is not None
        ):
            return
        cold_ms = callpath.get_header(head.headers, self._dialect.cold_ms)
        if cold_ms is not None:
            self._cold_start.update(
                service, callpath.parse_cold_ms(cold_ms), trio.current_time()
            )
        self._tracker.record(
            callpath.UpstreamAnnouncement(
                service=service,
                address=address,
                n_slots=max(1, load.n_slots),
                state=callpath.EndpointState.SERVING,
                load_path="",
                instance_id=instance_id.decode("ascii"),
            )
        )
