"""Latest announcement of the local upstream, and its expiry."""

import time
from collections.abc import Callable

import trio

from umberdrum import callpath, controlhttp, errors, logs
from umberdrum.announcements import _document, _listener

CHECK_INTERVAL_SECONDS = 0.5
UPSTREAM_PATH = "/v1/upstream"
MAX_ENDED_RUNS = 1000
MS_PER_SECOND = 1000


def get_unix_ms() -> int:
    """Return the Unix time in milliseconds, the unit of ``born_ms``."""
    return int(time.time() * MS_PER_SECOND)


class AnnouncementTracker:
    """Tracks the announcements of the one upstream next to this daemon.

    The upstream repeats its announcement with ``PUT /v1/upstream`` as a heartbeat.
    If none arrives within the timeout, the upstream counts as absent. ``DELETE`` marks
    it as absent at once, and ``GET`` returns the last announcement.

    A run is one process of the upstream. It is identified by its ``instance_id`` and
    its start time ``born_ms``. Where announcements name their run, an announcement of
    an older run, or an earlier one of the same run, is stale and ignored. A run that
    has announced its end never serves again, even if this daemon did not know it
    before.

    While an operator's drain order is in force, the upstream counts as draining,
    whatever it announces.

    Load pattern: a daemon is killed beside an upstream whose responses say that it
    leaves, while its announcements go on to say that it serves. ``on_run_ended`` is
    told the mark of each run that ends. The next process of the daemon gets the last of
    them back from other daemons (``recall_end``). Until then, or for a moment, it holds
    a run that it can't judge: the run is announced to the listener once ``hold`` is
    over.
    """

    def __init__(
        self,
        listener: _listener.UpstreamStateListener,
        timeout_seconds: float,
        log: logs.EventLog,
        get_unix_ms: Callable[[], int] = get_unix_ms,
    ) -> None:
        self._listener = listener
        self._timeout_seconds = timeout_seconds
        self._log = log
        self._get_unix_ms = get_unix_ms
        self._last: callpath.UpstreamAnnouncement | None = None
        self._last_received_at = 0.0
        # Latest start time of an ended run, by its instance ID.
        self._ended_born_ms: dict[str, int] = {}
        self._announcement_received = trio.Event()
        self._recalled_mark = 0
        self._hold: trio.Event | None = None
        self.on_run_ended: Callable[[int], None] | None = None
        self.is_drain_ordered = False
        # Whether upstreams of a service may be announced; all by default.
        self.knows_service: Callable[[str], bool] = bool

    @property
    def announcement(self) -> callpath.UpstreamAnnouncement | None:
        """Last announcement, None while the upstream is absent."""
        return self._last

    @property
    def announced_at(self) -> float | None:
        """Trio time of the last announcement, None while the upstream is absent."""
        return self._last_received_at if self._last is not None else None

    async def handle(
        self, request: controlhttp.ControlRequest
    ) -> controlhttp.ControlResponse:
        """Return the response to one request of the upstream."""
        if request.path != UPSTREAM_PATH:
            detail = f"expected {UPSTREAM_PATH}, found {request.path[:100]}"
            return controlhttp.build_failure_response(
                errors.fail(errors.ErrorKind.NOT_FOUND, detail)
            )
        if request.method == "PUT":
            return self._handle_put(request.body)
        if request.method == "DELETE":
            self._clear("withdrawn")
            return self._build_response()
        if request.method == "GET":
            return self._build_response()
        return controlhttp.build_text_response("expected GET, PUT or DELETE\n", 405)

    def set_drain_ordered(self, is_ordered: bool) -> None:
        """Set or lift an operator's order to drain the upstream."""
        self.is_drain_ordered = is_ordered
        self._log.write("drain_ordered", ordered=is_ordered)
        if self._last is not None:
            self._notify_listener(self._last)

    def start_hold(self) -> None:
        """Announce no serving run to the listener until the hold ends."""
        self._hold = trio.Event()

    async def end_hold_after(self, seconds: float) -> None:
        """End the hold after ``seconds``, unless ``recall_end`` has ended it before."""
        if self._hold is None:
            return
        with trio.move_on_after(seconds):
            await self._hold.wait()
        self._end_hold()

    def recall_end(self, mark: int) -> None:
        """Record that other daemons know the run with ``mark`` to have ended.

        ``mark`` is 0 if they know of none.
        """
        self._recalled_mark = mark
        last = self._last
        if last is not None and mark and last.run_mark == mark:
            self._log.write(
                "upstream_leaving",
                run=f"{last.instance_id}/{last.born_ms}",
                source="record",
            )
            self._hold = None
            self.end_run()
        self._end_hold()

    def _end_hold(self) -> None:
        if self._hold is None:
            return
        self._hold.set()
        self._hold = None
        if self._last is not None and _is_identified_serving(self._last):
            self._notify_listener(self._last)

    async def expire_announcements(self) -> None:
        """Mark the upstream as absent whenever its announcements time out."""
        while True:
            if self._last is None:
                self._announcement_received = trio.Event()
                await self._announcement_received.wait()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            elapsed_seconds = trio.current_time() - self._last_received_at
            if self._last is not None and elapsed_seconds > self._timeout_seconds:
                self._clear("timeout")

    def _handle_put(self, body: bytes) -> controlhttp.ControlResponse:
        parsed = _document.parse_announcement(body)
        if parsed.is_error():
            return controlhttp.build_failure_response(parsed.error)
        self.record(parsed.ok)
        return self._build_response()

    def record(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Store ``announcement`` unless it is stale.

        The announcement of an ended run is stored as draining. The listener is called
        and a log line is written only if something other than the sequence number and
        ``cold_seconds``, the remaining time of a slow start, has changed.
        """
        if self._is_stale(announcement):
            return
        if self._has_ended(announcement):
            draining = callpath.EndpointState.DRAINING
            announcement = announcement._replace(state=draining)
        if announcement.state is callpath.EndpointState.DRAINING:
            self._record_end(announcement)
        self._last_received_at = trio.current_time()
        self._announcement_received.set()
        last = self._last
        self._last = announcement
        if (
            last is None
            or announcement._replace(
                sequence=last.sequence, cold_seconds=last.cold_seconds
            )
            != last
        ):
            self._log.write(
                "announcement",
                service=announcement.service,
                address=str(announcement.address),
                slots=announcement.n_slots,
                state=announcement.state.value,
                instance=announcement.instance_id or None,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            self._notify_listener(announcement)
        elif announcement.cold_seconds or last.cold_seconds:
            self._listener.apply_cold_period(announcement)

    def withdraw(self, instance_id: str) -> None:
        """Record the end of the run ``instance_id``.

        If it is the announced run, the upstream becomes absent.
        """
        last = self._last
        if last is not None and last.instance_id == instance_id:
            self._record_end(last)
            self._clear("withdrawn")
            return
        # A daemon that has just started does not know the run's start time. The present
        # time is an upper bound of it.
        self._store_end(instance_id, self._get_unix_ms())
        self._log.write("withdrawal_of_unknown", instance=instance_id)

    def end_run(self) -> None:
        """Record that the announced run is leaving, as its responses say."""
        last = self._last
        if last is None or last.state is callpath.EndpointState.DRAINING:
            return
        self._record_end(last)
        self._last = last._replace(state=callpath.EndpointState.DRAINING)
        self._notify_listener(self._last)

    def mark_absent(self, reason: str) -> None:
        """Mark the upstream as absent until its next announcement."""
        self._clear(reason)

    def _is_stale(self, announcement: callpath.UpstreamAnnouncement) -> bool:
        """Return whether a later announcement has already been stored."""
        last = self._last
        if last is None or not announcement.instance_id:
            return False
        if announcement.born_ms < last.born_ms:
            return True
        is_same_run = (
            announcement.instance_id == last.instance_id
            and announcement.born_ms == last.born_ms
        )
        return is_same_run and announcement.sequence < last.sequence

    def _has_ended(self, announcement: callpath.UpstreamAnnouncement) -> bool:
        """Return whether the run has announced its end.

        A ``born_ms`` of 0 means an unknown start time and counts as before any end.
        """
        if self._recalled_mark and announcement.run_mark == self._recalled_mark:
            return True
        ended_born_ms = self._ended_born_ms.get(announcement.instance_id)
        return ended_born_ms is not None and announcement.born_ms <= ended_born_ms

    def _record_end(self, announcement: callpath.UpstreamAnnouncement) -> None:
        if not announcement.instance_id:
            return
        if self.on_run_ended is not None and announcement.run_mark:
            self.on_run_ended(announcement.run_mark)
        born_ms = announcement.born_ms or self._get_unix_ms()
        self._store_end(announcement.instance_id, born_ms)

    def _store_end(self, instance_id: str, born_ms: int) -> None:
        """Store the latest start time of an ended run.

        When ``MAX_ENDED_RUNS`` instance IDs are stored, all of them are dropped first.
        """
        if len(self._ended_born_ms) >= MAX_ENDED_RUNS:
            self._ended_born_ms.clear()
        known = self._ended_born_ms.get(instance_id, 0)
        self._ended_born_ms[instance_id] = max(known, born_ms)

    def _clear(self, reason: str) -> None:
        if self._last is None:
            return
        self._log.write("announcement_ended", reason=reason)
        self._last = None
        self._listener.apply_absence()

    def _notify_listener(self, announcement: callpath.UpstreamAnnouncement) -> None:
        if self.is_drain_ordered:
            announcement = announcement._replace(state=callpath.EndpointState.DRAINING)
        if self._hold is not None and _is_identified_serving(announcement):
            return
        self._listener.apply_announcement(announcement)

    def _build_response(self) -> controlhttp.ControlResponse:
        if self._last is None:
            return controlhttp.build_json_response({"state": "absent"})
        return controlhttp.build_json_response(
            {
                "service": self._last.service,
                "address": str(self._last.address),
                "slots": self._last.n_slots,
                "state": self._last.state.value,
                "load_path": self._last.load_path,
                "timeout_ms": int(self._timeout_seconds * 1000),
                "drain_ordered": self.is_drain_ordered,
            }
        )


def _is_identified_serving(announcement: callpath.UpstreamAnnouncement) -> bool:
    return bool(announcement.run_mark) and announcement.state.is_serving
