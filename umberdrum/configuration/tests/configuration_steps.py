"""Steps on the operators' configuration and on the watcher."""

import functools
import logging
import math
import random

import behave
import trio
from behave import runner

from umberdrum import classes, configuration, gossip, logs, membership
from umberdrum.membership.tests import membership_steps
from umberdrum.tests import harness

N_SEEDS = 100
N_OUTAGES = 20
MIN_OUTAGE_SECONDS = 4.0
OUTAGE_STEP_SECONDS = 0.26
POLL_SECONDS = 0.02
LIMIT_SECONDS = 10.0
CHECKS_PER_SECOND = 5
RENEWAL_SECONDS = 0.5
LOST_AT_SECONDS = 10.3


def build_class(name: str, ms: int) -> classes.RequestClass:
    target = classes.Target(ms, 99.0)
    return classes.RequestClass(
        name, "cards", (), "/", True, target, f"change-{name}-{ms}"
    )


@behave.given("a stored class with a target of {ms:d} ms")
def set_stored_class(context: runner.Context, ms: int) -> None:
    context.initial_target_ms = ms


async def _prepare_event(
    context: runner.Context,
    site: harness.Site,
    repository: configuration.ClassRepository,
    revision: int,
) -> None:
    event = context.event
    if event == "another operator changed it to 60":
        await repository.write_class(build_class("look", 60), revision)
    elif event == "it was deleted":
        await repository.delete_class("look", revision)
    elif event == "the answer is lost":
        site.faults.n_lost_answers = 1
    elif event == "the answer is lost, then 60 is written":
        # The change is read back 0.3 s after the lost answer.
        site.faults.n_lost_answers = 1
        context.has_later_change = True
    elif event == "the store goes down after it":
        site.faults.n_lost_answers = 1
        context.stops_store = True
    elif event == "the store is unreachable":
        site.store_address, context.original_store_address = (
            harness.find_free_address(),
            site.store_address,
        )


async def _apply_later_events(context: runner.Context, site: harness.Site) -> None:
    """Trigger the events that follow the application of the operator's change."""
    await trio.sleep(0.1)
    if context.has_later_change:
        repository = site.build_repository()
        found = (await repository.get_class("look")).ok
        assert found is not None
        written = await repository.write_class(build_class("look", 60), found.revision)
        assert written.is_ok()
    if context.stops_store:
        site.faults.is_down = True


def _run_change(context: runner.Context, event: str, is_delete: bool) -> None:
    context.event = event
    context.has_later_change = False
    context.stops_store = False
    context.original_store_address = None

    async def run() -> None:
        async with harness.open_site() as site:
            repository = site.build_repository()
            first = build_class("look", context.initial_target_ms)
            revision = (await repository.write_class(first, 0)).ok.revision
            await _prepare_event(context, site, repository, revision)
            repository = site.build_repository()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_apply_later_events, context, site)
                if is_delete:
                    context.result = await repository.delete_class("look", revision)
                else:
                    changed = build_class("look", 80)
                    context.result = await repository.write_class(changed, revision)
            site.faults.is_down = False
            if context.original_store_address is not None:
                site.store_address = context.original_store_address
            context.stored = (await site.build_repository().get_class("look")).ok

    harness.run_on_virtual_clock(run)


@behave.when('an operator changes it to 80 ms while "{event}"')
def change_class(context: runner.Context, event: str) -> None:
    _run_change(context, event, is_delete=False)


@behave.when('an operator deletes it while "{event}"')
def delete_class(context: runner.Context, event: str) -> None:
    _run_change(context, event, is_delete=True)


@behave.then('the operator gets the result "{result}"')
def check_change_result(context: runner.Context, result: str) -> None:
    found = "accepted"
    if context.result.is_error():
        found = context.result.error.kind.token
    assert found == result, context.result


@behave.then("the stored target is {stored} ms")
def check_stored(context: runner.Context, stored: str) -> None:
    found = "none"
    if context.stored is not None:
        found = str(context.stored.request_class.target.latency_ms)
    assert found == stored, context.stored


@behave.given("a task that tries again after at most {seconds:f} s on average")
def set_max_period(context: runner.Context, seconds: float) -> None:
    context.max_period = seconds


@behave.when("{n:d} attempts have failed after {seconds:f} s each")
def fail_attempts(context: runner.Context, n: int, seconds: float) -> None:
    context.pauses = []
    for seed in range(N_SEEDS):
        pause = configuration.RetryPause(random.Random(seed), context.max_period)
        drawn = [pause.draw_seconds(seconds) for _ in range(n)]
        context.pauses.append(drawn[-1])


@behave.then("its pause is from {least:f} to {most:f} s")
def check_pauses(context: runner.Context, least: float, most: float) -> None:
    assert min(context.pauses) >= least, min(context.pauses)
    assert max(context.pauses) <= most, max(context.pauses)
    assert len(set(context.pauses)) > N_SEEDS / 2


@behave.given("a zone of {n:d} daemons")
def set_zone_size(context: runner.Context, n: int) -> None:
    context.n_members = n


@behave.when("their claims fail for {seconds:d} s")
def fail_claims(context: runner.Context, seconds: int) -> None:
    context.claim_times = []
    for seed in range(context.n_members):
        delay = configuration.ClaimDelay(random.Random(seed))
        now = 0.0
        while now < seconds:
            now += delay.draw_retry_seconds(context.n_members)
            context.claim_times.append(now)


@behave.then("they claim from {least:d} to {most:d} times in the last {last:d} s")
def check_claims(context: runner.Context, least: int, most: int, last: int) -> None:
    n_late = sum(1 for at in context.claim_times if last <= at < 2 * last)
    assert least <= n_late <= most, n_late


class WatcherRun:
    """Watcher with its own shared state; counts revisions that decrease."""

    def __init__(self, site: harness.Site, seed: int = 1) -> None:
        log = logs.EventLog(logging.Logger("watcher"), "d")
        table = membership.MembershipTable(membership_steps.OWN_RECORD)
        self.state = gossip.SharedState(table, log)
        self.watcher = configuration.ConfigurationWatcher(
            site.build_store(),
            "umberdrum/classes/",
            self.state,
            random.Random(seed),
            log,
        )
        self.n_revision_decreases = 0
        self._revisions: dict[str, int] = {}
        self.state.add_catalog_listener(self._record_revisions)

    def list_names(self) -> str:
        names = [row.name for row in self.state.catalog.list_classes()]
        return ", ".join(names)

    def _record_revisions(self, catalog: classes.Catalog) -> None:
        for entry in catalog.entries:
            if entry.revision < self._revisions.get(entry.name, 0):
                self.n_revision_decreases += 1
            self._revisions[entry.name] = entry.revision


@behave.given('a watcher that follows a store with classes "a" and "b"')
def set_class_names(context: runner.Context) -> None:
    context.names = ("a", "b")


@behave.when('"{event}" happens')
def run_event(context: runner.Context, event: str) -> None:
    async def run() -> None:
        async with harness.open_site() as site, trio.open_nursery() as nursery:
            repository = site.build_repository()
            revisions = {}
            for name in context.names:
                written = await repository.write_class(build_class(name, 50), 0)
                revisions[name] = written.ok.revision
            context.watcher_run = WatcherRun(site)
            nursery.start_soon(context.watcher_run.watcher.run)
            await site.wait_until(lambda: context.watcher_run.list_names() == "a, b")
            await _trigger_event(event, site, context.watcher_run, revisions["b"])
            await trio.sleep(60.0)
            nursery.cancel_scope.cancel()

    harness.run_on_virtual_clock(run)


async def _trigger_event(
    event: str, site: harness.Site, watcher_run: WatcherRun, b_revision: int
) -> None:
    repository = site.build_repository()
    old = watcher_run.state.catalog.get_entry("b")
    assert old is not None
    if event.startswith("c is created"):
        await repository.write_class(build_class("c", 50), 0)
        site.server.switch_faults({"down": True})
        site.server.switch_faults({"down": False})
        return
    if event.startswith("an old copy"):
        await repository.write_class(build_class("b", 70), b_revision)
        await trio.sleep(1.0)
        watcher_run.state.merge_entries([old])
        return
    if "outage" in event:
        site.server.switch_faults({"down": True})
        await trio.sleep(5.0)
        site.state.delete("umberdrum/classes/b")
        site.server.switch_faults({"down": False})
        return
    await repository.delete_class("b", b_revision)
    if "compacted" in event:
        site.server.switch_faults({"compact": True})
    if "created again" in event:
        await repository.write_class(build_class("b", 90), 0)
    if "late" in event:
        await trio.sleep(1.0)
        watcher_run.state.merge_entries([old])


@behave.when(
    "c is created while the store is {fault} for 4 to 9 s, with each of 20 seeds"
)
def create_during_outage(context: runner.Context, fault: str) -> None:
    context.seconds = []
    for seed in range(N_OUTAGES):
        outage_seconds = MIN_OUTAGE_SECONDS + seed * OUTAGE_STEP_SECONDS
        harness.run_on_virtual_clock(
            functools.partial(_run_outage, context, fault, outage_seconds, seed)
        )


async def _run_outage(
    context: runner.Context, fault: str, outage_seconds: float, seed: int
) -> None:
    async with harness.open_site() as site, trio.open_nursery() as nursery:
        repository = site.build_repository()
        for name in context.names:
            await repository.write_class(build_class(name, 50), 0)
        watcher_run = WatcherRun(site, seed)
        nursery.start_soon(watcher_run.watcher.run)
        await site.wait_until(lambda: watcher_run.list_names() == "a, b")
        faults = {"down": True} if fault == "down" else {"delay_ms": 60_000}
        site.server.switch_faults({"down": True})
        site.server.switch_faults({"down": False, **faults})
        old = site.state.get_range("umberdrum/classes/a", "")[0]
        site.state.put("umberdrum/classes/c", old.value.replace(b'"a"', b'"c"'), 0)
        await trio.sleep(outage_seconds)
        site.server.switch_faults({"down": False, "delay_ms": 0})
        began_at = trio.current_time()
        with trio.move_on_after(LIMIT_SECONDS):
            while watcher_run.list_names() != "a, b, c":
                await trio.sleep(POLL_SECONDS)
        context.seconds.append(trio.current_time() - began_at)
        nursery.cancel_scope.cancel()


@behave.then("each watcher holds c within {limit:f} s of the store's return")
def check_outages(context: runner.Context, limit: float) -> None:
    assert len(context.seconds) == N_OUTAGES
    assert max(context.seconds) <= limit, context.seconds


@behave.then('the catalog finally holds "{names}"')
def check_catalog(context: runner.Context, names: str) -> None:
    assert context.watcher_run.list_names() == names, context.watcher_run.list_names()


@behave.then("no revision decreased")
def check_revisions(context: runner.Context) -> None:
    assert context.watcher_run.n_revision_decreases == 0


class _Contact:
    """Contact as the other daemons of its zone see it.

    The store answers it every ``RENEWAL_SECONDS`` until ``lost_at``, and it answers
    probes for good unless ``ends``, then until ``lost_at``.
    """

    def __init__(self, lost_at: float = math.inf, ends: bool = False) -> None:
        self._lost_at = lost_at
        self._ends = ends

    def answer(self, sign: gossip.ContactSign, now: float) -> gossip.ContactSign:
        """Return the sign after a probe."""
        if self._ends and now >= self._lost_at:
            return sign
        return gossip.ContactSign(now, self.compute_answered_at(now))

    def compute_answered_at(self, now: float) -> float:
        """Return when the store has last answered."""
        last_at = min(now, self._lost_at)
        return last_at - last_at % RENEWAL_SECONDS


class _Reader:
    """Daemon that hears the contacts of its zone only by probes."""

    def __init__(
        self, contacts: dict[str, _Contact], n_readers: int, seed: int
    ) -> None:
        self._watch = configuration.ContactWatch(random.Random(seed))
        self._contacts = contacts
        self._n_readers = n_readers
        self._signs = dict.fromkeys(contacts, gossip.NO_SIGN)
        self.n_probes = 0
        self.read_at: list[float] = []

    def check(self, now: float) -> None:
        """Probe the contacts and read, if either is due."""
        probed = self._watch.take_probes(self._signs, self._n_readers, now)
        for name in probed:
            self.n_probes += 1
            self._signs[name] = self._contacts[name].answer(self._signs[name], now)
        if self._watch.take_read(self._signs, self._n_readers, now):
            self.read_at.append(now)


@behave.when(
    "{n_lost:d} of {n_contacts:d} contacts {loss} for {seconds:d} s, seen by one other "
    "daemon of the zone"
)
def lose_contacts(
    context: runner.Context, n_lost: int, n_contacts: int, loss: str, seconds: int
) -> None:
    contacts: dict[str, _Contact] = {}
    for index in range(n_contacts):
        lost_at = LOST_AT_SECONDS if index < n_lost else math.inf
        contacts[f"c{index}"] = _Contact(lost_at, loss == "end")
    reader = _Reader(contacts, 1, 1)
    first_check = 0 if contacts else round(LOST_AT_SECONDS * CHECKS_PER_SECOND)
    last_check = round((LOST_AT_SECONDS + seconds) * CHECKS_PER_SECOND)
    for check in range(first_check, last_check):
        reader.check(check / CHECKS_PER_SECOND)
    context.read_at = [time - LOST_AT_SECONDS for time in reader.read_at]


@behave.then("the first read is within {seconds:g} s of that")
def check_first_read(context: runner.Context, seconds: float) -> None:
    assert not context.read_at or 0 < context.read_at[0] <= seconds, context.read_at


@behave.then("there are between {n_min:d} and {n_max:d} reads")
def check_read_count(context: runner.Context, n_min: int, n_max: int) -> None:
    assert n_min <= len(context.read_at) <= n_max, context.read_at


@behave.when(
    "{n_daemons:d} daemons of a zone hear its contact only by probes, for {seconds:d} s"
)
def probe_in_large_zone(context: runner.Context, n_daemons: int, seconds: int) -> None:
    contacts = {"c0": _Contact(lost_at=float(seconds))}
    context.readers = [_Reader(contacts, n_daemons, seed) for seed in range(n_daemons)]
    _check_all(context.readers, 0, seconds)
    context.probes_per_second = sum(row.n_probes for row in context.readers) / seconds
    context.n_early_reads = sum(len(row.read_at) for row in context.readers)
    context.lost_at_seconds = seconds


@behave.then("it gets at most {limit:d} probes a second, and nobody reads")
def check_probe_rate(context: runner.Context, limit: int) -> None:
    assert 0 < context.probes_per_second <= limit, context.probes_per_second
    assert context.n_early_reads == 0, context.n_early_reads


@behave.then(
    "they read at most {limit:d} times a second once it has lost the store for "
    "{seconds:d} s"
)
def check_read_rate(context: runner.Context, limit: int, seconds: int) -> None:
    began_at = context.lost_at_seconds
    _check_all(context.readers, began_at, began_at + seconds)
    reads_per_second = sum(len(row.read_at) for row in context.readers) / seconds
    assert 0 < reads_per_second <= limit, reads_per_second


def _check_all(readers: list[_Reader], began_at: int, ends_at: int) -> None:
    for check in range(began_at * CHECKS_PER_SECOND, ends_at * CHECKS_PER_SECOND):
        for reader in readers:
            reader.check(check / CHECKS_PER_SECOND)


@behave.given('the contacts "{contacts}"')
def set_contacts(context: runner.Context, contacts: str) -> None:
    context.contacts = [
        membership_steps.OWN_RECORD._replace(endpoint_id=name)
        for name in contacts.split(", ")
        if name != "none"
    ]


@behave.then('the guard is "{guard}"')
def check_guard(context: runner.Context, guard: str) -> None:
    found = configuration.choose_guard(context.contacts)
    assert found == guard.replace("none", ""), found
