"""Desk that takes announcements and notices when they cease."""

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
    """Return the time of day in milliseconds, by which upstreams tell their start."""
    return int(time.time() * MS_PER_SECOND)


class AnnouncementTracker:
    """Takes the announcements of the one upstream beside this daemon.

    The upstream repeats its announcement with ``PUT /v1/upstream``; when it has been
    silent for the timeout it counts as gone. ``DELETE`` says that it is gone at once
    and ``GET`` shows the last announcement. Where announcements name the run of the
    upstream, one of an older run or an earlier one of the same run changes nothing,
    and a run that has said that it leaves never serves again, also when this daemon did
    not know it before. A drain that an operator
    asked for outweighs what the upstream announces until it is lifted.
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
        self._last_at = 0.0
        # Latest start of a run that has ended, by the name that it gave itself.
        self._ended_born_ms: dict[str, int] = {}
        self._announced = trio.Event()
        self.is_drain_ordered = False

    @property
    def announcement(self) -> callpath.UpstreamAnnouncement | None:
        """Last announcement, None while the upstream is gone."""
        return self._last

    @property
    def announced_at(self) -> float | None:
        """Time of the last announcement, None while the upstream is gone."""
        return self._last_at if self._last is not None else None

    async def handle(
        self, request: controlhttp.ControlRequest
    ) -> controlhttp.ControlResponse:
        """Answer one request of the upstream."""
        if request.path != UPSTREAM_PATH:
            detail = f"expected {UPSTREAM_PATH}, found {request.path[:100]}"
            return controlhttp.build_failure_response(
                errors.fail(errors.ErrorKind.NOT_FOUND, detail)
            )
        if request.method == "PUT":
            return self._take(request.body)
        if request.method == "DELETE":
            self._drop("withdrawn")
            return self._show()
        if request.method == "GET":
            return self._show()
        return controlhttp.build_text_response("expected GET, PUT or DELETE\n", 405)

    def set_drain_ordered(self, is_ordered: bool) -> None:
        """Drain the upstream on an operator's order, or lift such an order."""
        self.is_drain_ordered = is_ordered
        self._log.write("drain_ordered", ordered=is_ordered)
        if self._last is not None:
            self._tell_listener(self._last)

    async def expire_announcements(self) -> None:
        """Notice for ever when announcements cease."""
        while True:
            if self._last is None:
                self._announced = trio.Event()
                await self._announced.wait()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            silence = trio.current_time() - self._last_at
            if self._last is not None and silence > self._timeout_seconds:
                self._drop("timeout")

    def _take(self, body: bytes) -> controlhttp.ControlResponse:
        parsed = _document.parse_announcement(body)
        if parsed.is_error():
            return controlhttp.build_failure_response(parsed.error)
        self.record(parsed.ok)
        return self._show()

    def record(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Use what the upstream says of itself unless it is outdated."""
        if self._is_outdated(announcement):
            return
        if self._has_ended(announcement):
            leaving = callpath.EndpointState.DRAINING
            announcement = announcement._replace(state=leaving)
        if announcement.state is callpath.EndpointState.DRAINING:
            self._note_end(announcement)
        self._last_at = trio.current_time()
        self._announced.set()
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
            self._tell_listener(announcement)

    def withdraw(self, instance_id: str) -> None:
        """Take note that the run ``instance_id`` of the upstream leaves."""
        last = self._last
        if last is not None and last.instance_id == instance_id:
            self._note_end(last)
            self._drop("withdrawn")
            return
        # A daemon that has just started does not know when the run began: before now.
        self._keep_end(instance_id, self._get_unix_ms())
        self._log.write("withdrawal_of_unknown", instance=instance_id)

    def mark_absent(self, reason: str) -> None:
        """Take the upstream for gone until it announces itself again."""
        self._drop(reason)

    def _is_outdated(self, announcement: callpath.UpstreamAnnouncement) -> bool:
        """Return whether a later announcement than this one was taken already."""
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
        """Return whether the run has said that it leaves; a start of 0 is unknown."""
        ended_born_ms = self._ended_born_ms.get(announcement.instance_id)
        return ended_born_ms is not None and announcement.born_ms <= ended_born_ms

    def _note_end(self, announcement: callpath.UpstreamAnnouncement) -> None:
        if not announcement.instance_id:
            return
        born_ms = announcement.born_ms or self._get_unix_ms()
        self._keep_end(announcement.instance_id, born_ms)

    def _keep_end(self, instance_id: str, born_ms: int) -> None:
        if len(self._ended_born_ms) >= MAX_ENDED_RUNS:
            self._ended_born_ms.clear()
        known = self._ended_born_ms.get(instance_id, 0)
        self._ended_born_ms[instance_id] = max(known, born_ms)

    def _drop(self, reason: str) -> None:
        if self._last is None:
            return
        self._log.write("announcement_ended", reason=reason)
        self._last = None
        self._listener.apply_absence()

    def _tell_listener(self, announcement: callpath.UpstreamAnnouncement) -> None:
        if self.is_drain_ordered:
            announcement = announcement._replace(state=callpath.EndpointState.DRAINING)
        self._listener.apply_announcement(announcement)

    def _show(self) -> controlhttp.ControlResponse:
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
