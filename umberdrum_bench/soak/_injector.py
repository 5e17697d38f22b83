"""Injects the faults of a plan from outside the processes."""

import signal
import subprocess
from collections.abc import Awaitable, Callable

import trio

from umberdrum import settings, sockets
from umberdrum_bench import caller, processes, upstream
from umberdrum_bench.soak import _environment, _plan, _spread

# A stopping daemon finishes the calls in progress, which takes one deadline of 2 s at
# most. The rest is a margin for a busy machine.
STOP_TIMEOUT_SECONDS = 10.0
# A draining upstream gets no new calls later than this after the daemon acknowledges
# its announcement.
DRAIN_GRACE_SECONDS = 2.0
LINK_DELAY_SECONDS = 0.05
STORE_DELAY_MS = 700
SLOWDOWN_FACTOR = 20
RATE_LIMITS = ("0", "2", "10.5")
CRASH_SERVICE = "cards"
CRASH_PATH = "/cards/crash"
N_CRASH_REQUESTS = 8
CRASH_INTERVAL_SECONDS = 0.3
MAX_START_SECONDS = 10.0
MAX_RESTORE_SECONDS = 10.0
LOG_LEVELS = ("info", "debug", "warning")
# Faults under which a daemon's process or its links to peers are disturbed. Links that
# are delayed, reset or silent are left out: changes must arrive in spite of them.
PROCESS_KINDS = frozenset(
    (
        _plan.FaultKind.KILL_DAEMON,
        _plan.FaultKind.STOP_DAEMON,
        _plan.FaultKind.PAUSE_DAEMON,
        _plan.FaultKind.LOSE_ENDPOINT,
        _plan.FaultKind.LOSE_ALL,
        _plan.FaultKind.CUT_LINK_IN,
        _plan.FaultKind.CUT_LINK_OUT,
        _plan.FaultKind.CUT_LINK,
        _plan.FaultKind.KILL_CONTACT,
    )
)
# Faults that strike no endpoint, so that checks of it stay valid.
SHARED_KINDS = frozenset(
    (
        _plan.FaultKind.CHANGE_DOCUMENT,
        _plan.FaultKind.SILENCE_ALL_LINKS,
        _plan.FaultKind.TURN_AWAY_ZONE,
        _plan.FaultKind.KILL_CONTACTS,
        _plan.FaultKind.PAUSE_CONTACTS,
        _plan.FaultKind.CUT_OFF_CONTACTS,
    )
)
# What strikes each contact in a loss of all contacts.
CONTACT_FAULT_KINDS = {
    _plan.FaultKind.KILL_CONTACTS: _plan.FaultKind.KILL_DAEMON,
    _plan.FaultKind.PAUSE_CONTACTS: _plan.FaultKind.PAUSE_DAEMON,
    _plan.FaultKind.CUT_OFF_CONTACTS: _plan.FaultKind.CUT_STORE_LINK,
}

_Action = Callable[[_plan.SoakFault], Awaitable[None]]


class FaultInjector:
    """Injects faults at their scheduled times; overlapping faults run concurrently."""

    def __init__(self, environment: _environment.SoakEnvironment) -> None:
        self._environment = environment
        self._cluster = environment.cluster
        kinds = _plan.FaultKind
        self._actions: dict[_plan.FaultKind, _Action] = {
            kinds.KILL_DAEMON: self._kill_daemon,
            kinds.STOP_DAEMON: self._stop_daemon,
            kinds.PAUSE_DAEMON: self._pause_daemon,
            kinds.RELOAD_DAEMON: self._reload_daemon,
            kinds.KILL_UPSTREAM: self._kill_upstream,
            kinds.DRAIN_UPSTREAM: self._drain_upstream,
            kinds.SLOW_UPSTREAM: self._slow_upstream,
            kinds.FAIL_UPSTREAM: self._fail_upstream,
            kinds.LIMIT_UPSTREAM: self._limit_upstream,
            kinds.LEAVE_UPSTREAM: self._leave_upstream,
            kinds.CRASH_UPSTREAMS: self._crash_upstreams,
            kinds.LOSE_ENDPOINT: self._lose_endpoint,
            kinds.LOSE_ALL: self._lose_all,
            kinds.DELAY_LINK: self._delay_link,
            kinds.RESET_LINK: self._reset_link,
            kinds.SILENCE_LINK: self._silence_link,
            kinds.CUT_LINK_IN: self._cut_link,
            kinds.CUT_LINK_OUT: self._cut_link,
            kinds.CUT_LINK: self._cut_link,
            kinds.CUT_STORE_LINK: self._cut_store_link,
            kinds.RESET_STORE_LINK: self._reset_store_link,
            kinds.STOP_STORE: self._stop_store,
            kinds.SLOW_STORE: self._slow_store,
            kinds.LOSE_STORE_ANSWERS: self._lose_store_answers,
            kinds.COMPACT_STORE: self._compact_store,
            kinds.LAPSE_LEASES: self._lapse_leases,
            kinds.CHANGE_TARGET: self._change_target,
            kinds.DRAIN_ZONE: self._drain_zone,
            kinds.CHANGE_DOCUMENT: self._change_target,
            kinds.SILENCE_ALL_LINKS: self._silence_all_links,
            kinds.KILL_CONTACT: self._kill_daemon,
            kinds.TURN_AWAY_ZONE: self._turn_away_zone,
            kinds.KILL_CONTACTS: self._lose_contacts,
            kinds.PAUSE_CONTACTS: self._lose_contacts,
            kinds.CUT_OFF_CONTACTS: self._lose_contacts,
        }

    async def run(self, plan: tuple[_plan.SoakFault, ...]) -> None:
        """Inject all faults of the plan and return when the last one has ended."""
        began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in plan:
                await trio.sleep_until(began_at + fault.at_seconds)
                nursery.start_soon(self._inject, fault)

    async def _inject(self, fault: _plan.SoakFault) -> None:
        print(
            f"time={_environment.format_time()} event=fault "
            f"at={fault.at_seconds:.2f} kind={fault.kind.value} "
            f"position={fault.position} seconds={fault.seconds:.2f}",
            flush=True,
        )
        if fault.kind is _plan.FaultKind.KILL_CONTACT:
            fault = fault._replace(position=self._choose_contact(fault.position))
        positions = self._list_struck(fault)
        disturbed = self._list_disturbed(fault, positions)
        self._environment.begin_fault(positions)
        for row in disturbed:
            row.begin()
        try:
            await self._actions[fault.kind](fault)
        finally:
            self._environment.end_fault(positions)
            for row in disturbed:
                row.end(trio.current_time())

    def _list_struck(self, fault: _plan.SoakFault) -> list[int]:
        """Return the positions of the endpoints that the fault strikes."""
        if fault.kind in SHARED_KINDS:
            return []
        if fault.kind is _plan.FaultKind.DRAIN_ZONE:
            return self._environment.list_zone(fault.position)
        if fault.kind is _plan.FaultKind.LOSE_ALL:
            return list(range(len(self._cluster.endpoints)))
        return [fault.position]

    def _list_disturbed(
        self, fault: _plan.SoakFault, positions: list[int]
    ) -> list[_spread.Disturbances]:
        """Return what the fault disturbs of the spread of changes."""
        spread = self._environment.spread
        if fault.kind in PROCESS_KINDS:
            return [spread.processes[row] for row in positions]
        if fault.kind is _plan.FaultKind.STOP_STORE:
            return spread.store_paths
        if fault.kind is _plan.FaultKind.CUT_STORE_LINK:
            return [spread.store_paths[fault.position]]
        if fault.kind is _plan.FaultKind.TURN_AWAY_ZONE:
            zone = self._environment.list_zone(fault.position)
            return [spread.store_paths[row] for row in zone]
        return []

    def _choose_contact(self, position: int) -> int:
        """Return the position of a contact, of the same zone if there is one."""
        contacts = self._environment.spread.list_contacts()
        zone = self._environment.list_zone(position)
        of_zone = [row for row in contacts if row in zone]
        return (of_zone or contacts or [position])[0]

    async def _kill_daemon(self, fault: _plan.SoakFault) -> None:
        position = fault.position
        began_at = trio.current_time()
        process = self._cluster.endpoints[position].daemon_process
        if not self._environment.signal_daemon(position, signal.SIGKILL):
            return
        await trio.sleep(fault.seconds)
        await self._restart_daemon(position, process)
        self._environment.record_outage(position, "kill", began_at)

    async def _stop_daemon(self, fault: _plan.SoakFault) -> None:
        """Stop a daemon with SIGTERM and check that it exits with code 0.

        A daemon that does not serve yet has no signal handlers, so that the signal
        itself may end it.
        """
        position = fault.position
        status = await _environment.read_status(self._cluster.endpoints[position])
        began_at = trio.current_time()
        process = self._cluster.endpoints[position].daemon_process
        if not self._environment.signal_daemon(position, signal.SIGTERM):
            return
        n_faults = self._environment.get_fault_count(position)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while process.poll() is None:
                await trio.sleep(processes.POLL_INTERVAL_SECONDS)
        code = process.poll()
        if code is None and self._environment.has_no_other_fault(position, n_faults):
            self._environment.violations.append(
                f"stop: daemon {position} still ran {STOP_TIMEOUT_SECONDS:g} s "
                "after SIGTERM"
            )
        allowed = [None, 0, -signal.SIGKILL]
        if status is None:
            allowed.append(-signal.SIGTERM)
        if code not in allowed:
            self._environment.violations.append(
                f"stop: daemon {position} ended with code {code}, expected 0"
            )
        if code is None:
            self._environment.signal_daemon(position, signal.SIGKILL)
        await trio.sleep(fault.seconds)
        await self._restart_daemon(position, process)
        kind = "kill" if code != 0 else "stop"
        self._environment.record_outage(position, kind, began_at)

    async def _restart_daemon(
        self, position: int, process: "subprocess.Popen[bytes]"
    ) -> None:
        """Wait for the end of ``process``; restart the daemon if it is not running."""
        await trio.to_thread.run_sync(process.wait)
        if not self._environment.is_running(position):
            self._cluster.restart_daemon(position)

    async def _pause_daemon(self, fault: _plan.SoakFault) -> None:
        began_at = trio.current_time()
        if not self._environment.signal_daemon(fault.position, signal.SIGSTOP):
            return
        await trio.sleep(fault.seconds)
        self._environment.signal_daemon(fault.position, signal.SIGCONT)
        self._environment.record_outage(fault.position, "pause", began_at)

    async def _reload_daemon(self, fault: _plan.SoakFault) -> None:
        """Change the log level and tell the daemon to read its settings again.

        Before its process listens, it may have run no code of the daemon yet, so that
        the signal itself would end it. From then on it must survive the signal.
        """
        level = self._environment.rng.choice(LOG_LEVELS)
        self._cluster.write_settings(fault.position, level)
        if not await _is_listening(self._cluster.endpoints[fault.position].caller):
            return
        self._environment.signal_daemon(fault.position, signal.SIGHUP)

    async def _kill_upstream(self, fault: _plan.SoakFault) -> None:
        process = self._environment.get_upstream(fault.position)
        process.kill()
        await trio.to_thread.run_sync(process.wait)
        await trio.sleep(fault.seconds)
        self._restart_upstream(fault.position)

    def _restart_upstream(self, position: int) -> None:
        if self._environment.get_upstream(position).poll() is None:
            return
        self._environment.reset_upstream_counts(position)
        self._cluster.restart_upstream(position)

    async def _drain_upstream(self, fault: _plan.SoakFault) -> None:
        """Drain an upstream that announces it, stop it and restart it."""

        async def announce(process: "subprocess.Popen[bytes]") -> None:
            process.send_signal(signal.SIGUSR1)

        await self._empty_upstream(fault, announce)

    async def _leave_upstream(self, fault: _plan.SoakFault) -> None:
        """Drain an upstream that says in its responses that it leaves."""
        address = self._cluster.endpoints[fault.position].upstream

        async def say_leaving(process: "subprocess.Popen[bytes]") -> None:
            del process
            await self._environment.set_upstream_faults(address, leaving=True)

        await self._empty_upstream(fault, say_leaving)

    async def _empty_upstream(
        self,
        fault: _plan.SoakFault,
        begin: "Callable[[subprocess.Popen[bytes]], Awaitable[None]]",
    ) -> None:
        """Let an upstream leave, stop it and restart it.

        No call may begin there later than ``DRAIN_GRACE_SECONDS`` after the upstream
        says that it leaves, and its end may cut no call. This is checked only if no
        other fault struck the endpoint during that time.
        """
        position = fault.position
        process = self._environment.get_upstream(position)
        if process.poll() is not None or not self._environment.is_running(position):
            return
        n_faults = self._environment.get_fault_count(position)
        await begin(process)
        await trio.sleep(DRAIN_GRACE_SECONDS)
        counts_after_grace = self._environment.read_upstream_counts(position)
        await trio.sleep(fault.seconds)
        counts_at_end = self._environment.read_upstream_counts(position)
        process.terminate()
        await trio.to_thread.run_sync(process.wait)
        self._restart_upstream(position)
        if not self._environment.has_no_other_fault(position, n_faults):
            return
        if counts_at_end.n_begun > counts_after_grace.n_begun:
            self._environment.violations.append(
                f"drain: {counts_at_end.n_begun - counts_after_grace.n_begun} calls "
                f"began at upstream {position} over {DRAIN_GRACE_SECONDS:g} s after it "
                "announced its drain"
            )
        if counts_at_end.n_in_progress:
            self._environment.violations.append(
                f"drain: the end of upstream {position} cut "
                f"{counts_at_end.n_in_progress} calls"
            )

    async def _slow_upstream(self, fault: _plan.SoakFault) -> None:
        address = self._cluster.endpoints[fault.position].upstream
        await self._environment.set_upstream_faults(address, factor=SLOWDOWN_FACTOR)
        await trio.sleep(fault.seconds)
        await self._environment.set_upstream_faults(address, factor=1)

    async def _fail_upstream(self, fault: _plan.SoakFault) -> None:
        address = self._cluster.endpoints[fault.position].upstream
        await self._environment.set_upstream_faults(address, fail=True)
        await trio.sleep(fault.seconds)
        await self._environment.set_upstream_faults(address, fail=False)

    async def _limit_upstream(self, fault: _plan.SoakFault) -> None:
        address = self._cluster.endpoints[fault.position].upstream
        rate = self._environment.rng.choice(RATE_LIMITS)
        await self._environment.set_upstream_faults(address, rate_limit=rate)
        await trio.sleep(fault.seconds)
        await self._environment.set_upstream_faults(address, rate_limit="")

    async def _crash_upstreams(self, fault: _plan.SoakFault) -> None:
        """Send one request that ends its upstreams, again and again.

        The upstreams that it has ended are restarted after the time of the fault, which
        lasts until they serve again.
        """
        pool = caller.CallerPool()
        rng = self._environment.rng
        path = f"{CRASH_PATH}/{fault.at_seconds:.3f}"
        for number in range(N_CRASH_REQUESTS):
            request = caller.CallerRequest(
                CRASH_SERVICE,
                "GET",
                path,
                f"crash-{fault.at_seconds:.3f}-{number}",
                f"crash-{number}",
                upstream.CRASH_BODY,
                int(CRASH_INTERVAL_SECONDS * 1000),
            )
            entry = rng.choice(self._cluster.endpoints)
            await pool.call(entry.caller, request, CRASH_INTERVAL_SECONDS)
            await trio.sleep(CRASH_INTERVAL_SECONDS)
        pool.close()
        await trio.sleep(fault.seconds)
        ended = [
            endpoint
            for endpoint in self._cluster.endpoints
            if self._environment.get_upstream(endpoint.position).poll()
            == upstream.CRASH_EXIT_CODE
        ]
        for endpoint in ended:
            self._restart_upstream(endpoint.position)
        for endpoint in ended:
            await _wait_until_listening(endpoint.upstream)

    async def _lose_endpoint(self, fault: _plan.SoakFault) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._kill_daemon, fault)
            nursery.start_soon(self._kill_upstream, fault)

    async def _lose_all(self, fault: _plan.SoakFault) -> None:
        async with trio.open_nursery() as nursery:
            for position in range(len(self._cluster.endpoints)):
                nursery.start_soon(
                    self._lose_endpoint, fault._replace(position=position)
                )

    async def _delay_link(self, fault: _plan.SoakFault) -> None:
        link = self._environment.peer_links[fault.position]
        link.delay_seconds = LINK_DELAY_SECONDS
        await trio.sleep(fault.seconds)
        link.delay_seconds = 0.0

    async def _reset_link(self, fault: _plan.SoakFault) -> None:
        self._environment.peer_links[fault.position].reset()

    async def _silence_link(self, fault: _plan.SoakFault) -> None:
        self._environment.peer_links[fault.position].silence()

    async def _silence_all_links(self, fault: _plan.SoakFault) -> None:
        for link in self._environment.peer_links:
            link.silence()

    async def _turn_away_zone(self, fault: _plan.SoakFault) -> None:
        """Let the store refuse the daemons of a zone, and serve the others."""
        positions = self._environment.list_zone(fault.position)
        links = [self._environment.store_links[row] for row in positions]
        for link in links:
            link.is_refusing = True
            link.reset()
        await trio.sleep(fault.seconds)
        for link in links:
            link.is_refusing = False

    async def _lose_contacts(self, fault: _plan.SoakFault) -> None:
        """Strike all daemons that last reported to be contacts, at the same time."""
        kind = CONTACT_FAULT_KINDS[fault.kind]
        async with trio.open_nursery() as nursery:
            for position in self._environment.spread.list_contacts():
                nursery.start_soon(
                    self._inject, fault._replace(kind=kind, position=position)
                )

    async def _cut_link(self, fault: _plan.SoakFault) -> None:
        link = self._environment.peer_links[fault.position]
        link.pause(
            inbound=fault.kind is not _plan.FaultKind.CUT_LINK_OUT,
            outbound=fault.kind is not _plan.FaultKind.CUT_LINK_IN,
        )
        await trio.sleep(fault.seconds)
        link.resume()

    async def _cut_store_link(self, fault: _plan.SoakFault) -> None:
        link = self._environment.store_links[fault.position]
        link.pause()
        await trio.sleep(fault.seconds)
        link.resume()

    async def _reset_store_link(self, fault: _plan.SoakFault) -> None:
        self._environment.store_links[fault.position].reset()

    async def _stop_store(self, fault: _plan.SoakFault) -> None:
        await self._cluster.switch_store_faults(down=True)
        await trio.sleep(fault.seconds)
        await self._cluster.switch_store_faults(down=False)

    async def _slow_store(self, fault: _plan.SoakFault) -> None:
        await self._cluster.switch_store_faults(delay_ms=STORE_DELAY_MS)
        await trio.sleep(fault.seconds)
        await self._cluster.switch_store_faults(delay_ms=0)

    async def _lose_store_answers(self, fault: _plan.SoakFault) -> None:
        await self._cluster.switch_store_faults(lost_answers=2)

    async def _compact_store(self, fault: _plan.SoakFault) -> None:
        await self._cluster.switch_store_faults(compact=True)

    async def _lapse_leases(self, fault: _plan.SoakFault) -> None:
        await self._cluster.switch_store_faults(lapse=True)

    async def _change_target(self, fault: _plan.SoakFault) -> None:
        await self._environment.documents.change()

    async def _drain_zone(self, fault: _plan.SoakFault) -> None:
        """Take a zone out of service, and return it.

        No call may begin in the zone later than the bound after the store has accepted
        the order. This is checked for upstreams that no other fault struck during that
        time.
        """
        environment = self._environment
        zone = self._cluster.endpoints[fault.position].plan.availability_zone
        positions = environment.list_zone(fault.position)
        n_faults = {row: environment.get_fault_count(row) for row in positions}
        if await environment.set_zone_drained(zone, is_drained=True):
            await trio.sleep(_spread.ZONE_DRAIN_SECONDS)
            before = {row: environment.read_upstream_counts(row) for row in positions}
            await trio.sleep(fault.seconds)
            for position in positions:
                n_begun = environment.read_upstream_counts(position).n_begun
                n_late = n_begun - before[position].n_begun
                is_judged = environment.has_no_other_fault(position, n_faults[position])
                if n_late > 0 and is_judged:
                    environment.violations.append(
                        f"zone: {n_late} calls began at upstream {position} over "
                        f"{_spread.ZONE_DRAIN_SECONDS:g} s after its zone was drained"
                    )
        with trio.move_on_after(MAX_RESTORE_SECONDS):
            while not await environment.set_zone_drained(zone, is_drained=False):
                await trio.sleep(processes.POLL_INTERVAL_SECONDS)


async def _wait_until_listening(address: settings.Address) -> None:
    """Wait until connections are accepted, at most ``MAX_START_SECONDS``."""
    with trio.move_on_after(MAX_START_SECONDS):
        while not await _is_listening(address):
            await trio.sleep(processes.POLL_INTERVAL_SECONDS)


async def _is_listening(address: settings.Address) -> bool:
    """Return whether a connection is accepted, by the program or by the kernel."""
    try:
        connection = await sockets.connect(address, MAX_START_SECONDS)
    except sockets.ConnectionLostError:
        return False
    connection.close()
    return True
