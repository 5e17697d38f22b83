"""Steps on announcements."""

import json
import logging

import behave
import trio
from behave import runner

from umberdrum import announcements, callpath, controlhttp, logs, settings
from umberdrum.tests import harness

WITHDRAWN_AT_MS = 3

VALID = b'{"service":"cards","address":"1.2.3.4:5","slots":1,"state":"serving"}'


class ListenerFake:
    """Keeps the states that it is told."""

    def __init__(self) -> None:
        self.states: list[str] = []

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        self.states.append(announcement.state.value)

    def apply_absence(self) -> None:
        self.states.append("absent")


def _build_tracker(context: runner.Context) -> announcements.AnnouncementTracker:
    context.listener = ListenerFake()
    log = logs.EventLog(logging.Logger("desk"), "d")
    return announcements.AnnouncementTracker(
        context.listener, 5.0, log, lambda: WITHDRAWN_AT_MS
    )


async def _put(
    tracker: announcements.AnnouncementTracker, body: bytes
) -> controlhttp.ControlResponse:
    request = controlhttp.ControlRequest("PUT", "/v1/upstream", {}, body)
    return await tracker.handle(request)


@behave.when('the upstream announces "{document}"')
def announce(context: runner.Context, document: str) -> None:
    async def run() -> None:
        tracker = _build_tracker(context)
        context.answer = await _put(tracker, document.encode())

    harness.run_on_virtual_clock(run)


@behave.then('the status is 400, "{fault}" is named and nothing changes')
def check_fault(context: runner.Context, fault: str) -> None:
    assert context.answer.status == 400, context.answer
    detail = json.loads(context.answer.body)["detail"]
    assert fault in detail, detail
    assert context.listener.states == []


@behave.when(
    "the upstream announces, is silent for {seconds:d} s, announces again and is "
    "drained by order"
)
def live(context: runner.Context, seconds: int) -> None:
    async def run() -> None:
        tracker = _build_tracker(context)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tracker.expire_announcements)
            await _put(tracker, VALID)
            await _put(tracker, VALID)
            await trio.sleep(seconds)
            await _put(tracker, VALID)
            tracker.set_drain_ordered(True)
            nursery.cancel_scope.cancel()

    harness.run_on_virtual_clock(run)


@behave.then('the daemon saw "{states}"')
def check_states(context: runner.Context, states: str) -> None:
    assert ", ".join(context.listener.states) == states, context.listener.states


@behave.when('an upstream announces "{words}"')
def announce_runs(context: runner.Context, words: str) -> None:
    async def run() -> None:
        tracker = _build_tracker(context)
        for word in words.split(", "):
            name, *rest = word.split()
            if rest == ["gone"]:
                tracker.withdraw(name[0])
                continue
            tracker.record(
                callpath.UpstreamAnnouncement(
                    "cards",
                    settings.parse_address("1.2.3.4:5"),
                    4,
                    callpath.EndpointState(rest[1]),
                    "",
                    instance_id=name[0],
                    born_ms=int(name[1]),
                    sequence=int(rest[0]),
                )
            )
        context.announcement = tracker.announcement

    harness.run_on_virtual_clock(run)


@behave.then('it is "{state}" in the end, as run "{name}"')
def check_run(context: runner.Context, state: str, name: str) -> None:
    assert context.listener.states[-1] == state, context.listener.states
    last = context.announcement
    found = f"{last.instance_id}{last.born_ms}" if last is not None else "-"
    assert found == name, last
