"""Look at the upstream beside a daemon that has just started."""

import trio

from umberdrum import (
    announcements,
    callpath,
    logs,
    membership,
    settings,
    sockets,
)

INTERVAL_SECONDS = 0.05
# Peers of the region answer the first datagram of a daemon within a few ms, busy ones
# within 100 ms.
HEAR_SECONDS = 0.15
PROBE_TIMEOUT_SECONDS = 0.5
MAX_LOOK_SECONDS = 5.0
HEALTHY_STATUS = 200


class StartupProbe:
    """Finds the upstream by a probe, until it announces itself.

    A daemon that starts again beside a running upstream would else have nothing to
    offer before the next announcement. A probe tells the run of the upstream, its slots
    and that it is not leaving; announcements replace what was seen.

    Some upstreams answer well until they end. If the process before this one had taken
    leave of its upstream, its record at the other daemons says so, and only an
    announcement counts.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        table: membership.MembershipTable,
        tracker: announcements.AnnouncementTracker,
        pool: callpath.UpstreamPool,
        dialect: callpath.Dialect,
        health_paths: callpath.HealthPathSource,
        log: logs.EventLog,
    ) -> None:
        self._settings = own_settings
        self._table = table
        self._began_at = 0.0
        self._tracker = tracker
        self._pool = pool
        self._dialect = dialect
        self._health_paths = health_paths
        self._log = log

    async def run(self) -> None:
        """Probe until the upstream is known or has had time to announce itself."""
        address = self._settings.upstream_address
        service = self._settings.own_service
        if address is None or not service or not self._dialect.instance_id:
            return
        self._began_at = trio.current_time()
        with trio.move_on_after(MAX_LOOK_SECONDS):
            while self._tracker.announcement is None:
                path = self._health_paths(service)
                if path and self._may_look():
                    await self._look(address, service, path)
                await trio.sleep(INTERVAL_SECONDS)

    def _may_look(self) -> bool:
        """Return whether nothing is known that speaks against the upstream."""
        earlier = self._table.predecessor
        if earlier is None:
            return trio.current_time() - self._began_at >= HEAR_SECONDS
        # The record of a process that left in order tells of itself only.
        is_serving = earlier.state is membership.RecordState.SERVING
        return earlier.is_final or is_serving

    async def _look(self, address: settings.Address, service: str, path: str) -> None:
        self._pool.set_address(address)
        upstream: callpath.UpstreamConnection | None = None
        is_clean = False
        try:
            with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
                upstream = await self._pool.acquire()
                head = await upstream.fetch_head(path)
                is_clean = True
                if head.status == HEALTHY_STATUS:
                    self._announce(address, service, head)
        except (callpath.UpstreamFailureError, sockets.ConnectionLostError) as fault:
            self._log.write("first_look_failed", reason=str(fault))
        finally:
            if upstream is not None:
                self._pool.release(upstream, is_clean)

    def _announce(
        self, address: settings.Address, service: str, head: callpath.HttpResponseHead
    ) -> None:
        instance_id = callpath.get_header(head.headers, self._dialect.instance_id)
        value = callpath.get_header(head.headers, self._dialect.load_report)
        load = callpath.parse_upstream_load(value) if value else None
        if (
            instance_id is None
            or load is None
            or self._tracker.announcement is not None
        ):
            return
        self._tracker.record(
            callpath.UpstreamAnnouncement(
                service=service,
                address=address,
                n_slots=max(1, load.n_slots),
                state=callpath.EndpointState.SERVING,
                load_path="",
                instance_id=instance_id.decode("latin-1"),
            )
        )
