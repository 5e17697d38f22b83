"""Steps for announcements."""

import json
import logging

import behave
import trio
from behave import runner

from umberdrum import announcements, callpath, controlhttp, logs, settings
from umberdrum.tests import harness

WITHDRAWN_AT_MS = 3

VALID_DOCUMENT = (
    b'{"service":"cards","address":"1.2.3.4:5","slots":1,"state":"serving"}'
)


class RecordingListener:
    """Records the states that it receives."""

    def __init__(self) -> None:
        self.states: list[str] = []

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        self.states.append(announcement.state.value)

    def apply_cold_period(self, announcement: callpath.UpstreamAnnouncement) -> None:
        del announcement

    def apply_absence(self) -> None:
        self.states.append("absent")


def _build_tracker(context: runner.Context) -> announcements.AnnouncementTracker:
    context.listener = RecordingListener()
    log = logs.EventLog(logging.Logger("announcements"), "d")
    return announcements.AnnouncementTracker(
        context.listener, 5.0, log, lambda: WITHDRAWN_AT_MS
    )


async def _put(
    tracker: announcements.AnnouncementTracker, body: bytes
) -> controlhttp.ControlResponse:
    request = controlhttp.ControlRequest("PUT", "/v1/upstream", {}, body)
    return await tracker.handle(request)


@behave.when('the upstream sends the announcement "{document}"')
def announce(context: runner.Context, document: str) -> None:
    async def run() -> None:
        tracker = _build_tracker(context)
        context.response = await _put(tracker, document.encode())

    harness.run_on_virtual_clock(run)


@behave.then('the status is 400, the detail contains "{text}" and no state changes')
def check_rejection(context: runner.Context, text: str) -> None:
    assert context.response.status == 400, context.response
    detail = json.loads(context.response.body)["detail"]
    assert text in detail, detail
    assert context.listener.states == []


@behave.when(
    "the upstream announces, pauses for {seconds:d} s, announces again and an "
    "operator orders a drain"
)
def announce_twice(context: runner.Context, seconds: int) -> None:
    async def run() -> None:
        tracker = _build_tracker(context)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tracker.expire_announcements)
            await _put(tracker, VALID_DOCUMENT)
            await _put(tracker, VALID_DOCUMENT)
            await trio.sleep(seconds)
            await _put(tracker, VALID_DOCUMENT)
            tracker.set_drain_ordered(True)
            nursery.cancel_scope.cancel()

    harness.run_on_virtual_clock(run)


@behave.then('the listener received "{states}"')
def check_states(context: runner.Context, states: str) -> None:
    assert ", ".join(context.listener.states) == states, context.listener.states


def build_announcement(
    run: str, state: str = "serving", sequence: int = 0
) -> callpath.UpstreamAnnouncement:
    return callpath.UpstreamAnnouncement(
        "cards",
        settings.parse_address("1.2.3.4:5"),
        4,
        callpath.EndpointState(state),
        "",
        instance_id=run[0],
        born_ms=int(run[1]),
        sequence=sequence,
    )


@behave.when('the upstream sends the announcements "{steps}"')
def announce_runs(context: runner.Context, steps: str) -> None:
    async def run() -> None:
        tracker = _build_tracker(context)
        for step in steps.split(", "):
            name, *rest = step.split()
            if step == "held":
                tracker.start_hold()
                continue
            if step == "over":
                await tracker.end_hold_after(0.15)
                continue
            if rest == ["recalled"]:
                tracker.recall_end(build_announcement(name).run_mark)
                continue
            if rest == ["withdrawn"]:
                tracker.withdraw(name[0])
                continue
            tracker.record(build_announcement(name, rest[1], int(rest[0])))
        context.announcement = tracker.announcement

    harness.run_on_virtual_clock(run)


@behave.then('its final state is "{state}" and its run is "{name}"')
def check_run(context: runner.Context, state: str, name: str) -> None:
    assert context.listener.states[-1] == state, context.listener.states
    last = context.announcement
    found = f"{last.instance_id}{last.born_ms}" if last is not None else "-"
    assert found == name, last
