"""Processes and link proxies of a soak, with a record of the injected faults."""

import collections
import datetime
import random
import signal
import subprocess
from typing import NamedTuple

import trio

from umberdrum import configuration, errors, settings, store
from umberdrum_bench import checker, link, processes, route_document
from umberdrum_bench.soak import _checker, _documents, _plan, _spread

SERVICES = ("cards", "payments")
ZONES = ("tallinn", "tartu", "parnu")
REGION = "estonia"
N_SLOTS = 6
# With more, all daemons of a small soak would read the store themselves.
N_CONTACTS_PER_ZONE = 1


class UpstreamCounts(NamedTuple):
    """Calls that an upstream process began, and those of them still in progress."""

    n_begun: int
    n_in_progress: int


class SoakEnvironment:
    """A store and endpoints as processes; their link proxies run in this process."""

    def __init__(self, options: _plan.SoakOptions) -> None:
        self.options = options
        self.rng = random.Random(options.seed + 1)
        self.spread = _spread.SpreadChecker(options.n_endpoints)
        store_address = settings.Address(processes.LOOPBACK_HOST, options.base_port)
        self.documents: _documents.Documents
        if _plan.has_routes(options.seed):
            self.documents = _documents.RouteDocuments(store_address, self.spread)
        else:
            self.documents = _documents.ClassDocuments(
                store_address, self.spread, options.seed
            )
        self.cluster = processes.Cluster(
            processes.ClusterOptions(
                options.base_port,
                options.directory,
                seed=options.seed,
                daemon_module=self.documents.daemon_module,
                n_contacts_per_zone=N_CONTACTS_PER_ZONE,
            )
        )
        self.peer_links: list[link.LinkProxy] = []
        self.store_links: list[link.LinkProxy] = []
        self.outages: list[_checker.DaemonOutage] = []
        self.violations: list[str] = []
        self.is_interrupted = False
        self._expected_exits: set[int] = set()
        self._n_faults: collections.Counter[int] = collections.Counter()
        self._n_active: collections.Counter[int] = collections.Counter()
        self._count_baselines: dict[int, UpstreamCounts] = {}

    def start(self) -> None:
        """Start all processes and create the link proxies, without running these."""
        plans: list[processes.EndpointPlan] = []
        for index in range(self.options.n_endpoints):
            service = SERVICES[index % len(SERVICES)]
            zone = ZONES[index // len(SERVICES) % len(ZONES)]
            plans.append(
                processes.EndpointPlan(
                    service, zone, REGION, N_SLOTS, has_external_links=True
                )
            )
        self.cluster.start(plans)
        for endpoint in self.cluster.endpoints:
            addresses = endpoint.addresses
            self.peer_links.append(link.LinkProxy(addresses.peer_link, addresses.peer))
            self.store_links.append(
                link.LinkProxy(addresses.store_link, self.cluster.store)
            )

    async def set_zone_drained(self, zone: str, is_drained: bool) -> bool:
        """Drain or restore a zone; return whether the store has accepted it.

        Restoring a zone that is in service counts as accepted.
        """
        client = store.EtcdStore((self.cluster.store,), store.StoreCallCounter())
        repository = configuration.ZoneRepository(client, route_document.STORE_PREFIX)
        change = repository.drain if is_drained else repository.restore
        self.spread.record_zone_order(zone, is_drained)
        try:
            changed = await change(zone)
        finally:
            client.close()
        is_accepted = changed.is_ok() or (
            not is_drained and changed.error.kind is errors.ErrorKind.NOT_FOUND
        )
        if is_accepted:
            self.spread.record_zone_acceptance(zone, trio.current_time())
        return is_accepted

    def list_zone(self, position: int) -> list[int]:
        """Return the positions of all endpoints in the zone of this one."""
        endpoints = self.cluster.endpoints
        zone = endpoints[position].plan.availability_zone
        return [row.position for row in endpoints if row.plan.availability_zone == zone]

    def signal_daemon(self, position: int, number: signal.Signals) -> bool:
        """Send a signal to a daemon; return False if the daemon does not run."""
        process = self.cluster.endpoints[position].daemon_process
        if process.poll() is not None:
            return False
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._expected_exits.add(process.pid)
        process.send_signal(number)
        return True

    def is_running(self, position: int) -> bool:
        """Return whether the daemon at the position is running."""
        return self.cluster.endpoints[position].daemon_process.poll() is None

    def begin_fault(self, positions: list[int]) -> None:
        """Record that a fault begins at these endpoints."""
        for position in positions:
            self._n_faults[position] += 1
            self._n_active[position] += 1

    def end_fault(self, positions: list[int]) -> None:
        """Record that a fault ends at these endpoints."""
        for position in positions:
            self._n_active[position] -= 1

    def get_fault_count(self, position: int) -> int | None:
        """Return the number of faults so far, None if another fault is still active."""
        return self._n_faults[position] if self._n_active[position] == 1 else None

    def has_no_other_fault(self, position: int, n_faults: int | None) -> bool:
        """Return whether no other fault was active since ``get_fault_count``."""
        return self._n_active[position] == 1 and self._n_faults[position] == n_faults

    def read_upstream_counts(self, position: int) -> UpstreamCounts:
        """Return the counts of the upstream's current process, read from its record."""
        counts = self._read_total_counts(position)
        baseline = self._count_baselines.get(position, UpstreamCounts(0, 0))
        return UpstreamCounts(
            counts.n_begun - baseline.n_begun,
            counts.n_in_progress - baseline.n_in_progress,
        )

    def reset_upstream_counts(self, position: int) -> None:
        """Exclude the requests so far from later counts, as their process has ended."""
        self._count_baselines[position] = self._read_total_counts(position)

    def _read_total_counts(self, position: int) -> UpstreamCounts:
        path = self.cluster.endpoints[position].record_path
        record = checker.read_execution_counts([path])
        n_begun = record.n_begun.total()
        n_finished = record.n_ended.total() + record.n_cut.total()
        return UpstreamCounts(n_begun, n_begun - n_finished)

    def record_violations(self, violations: list[str]) -> None:
        """Record violations, and print them beside the faults with the time."""
        for line in violations:
            print(f"time={format_time()} event=violation {line}", flush=True)
        self.violations += violations

    def record_outage(self, position: int, kind: str, began_at: float) -> None:
        """Record that the daemon was dead, stopping or paused since ``began_at``."""
        now = trio.current_time()
        row = _checker.DaemonOutage(position, kind, began_at, now)
        self.outages.append(row)

    def poll_unexpected_exit(self, position: int) -> int | None:
        """Return the exit code of a daemon that no signal of this soak ended.

        Returns None otherwise. Each exit is returned once.
        """
        process = self.cluster.endpoints[position].daemon_process
        code = process.poll()
        if code is None or process.pid in self._expected_exits:
            return None
        self._expected_exits.add(process.pid)
        return code

    def get_upstream(self, position: int) -> "subprocess.Popen[bytes]":
        """Return the upstream's process; raises ``RuntimeError`` if there is none."""
        process = self.cluster.endpoints[position].upstream_process
        if process is None:
            raise RuntimeError("expected an upstream process, found none")
        return process

    async def set_upstream_faults(
        self, address: settings.Address, **faults: object
    ) -> None:
        """Set faults of an upstream stand-in; ignored if it does not answer."""
        client = processes.build_client(address)
        await client.request("POST", "/standin/slow", faults, is_write=False)
        client.close()


def format_time() -> str:
    """Return the time of day, as in the logs of daemons."""
    return f"{datetime.datetime.now(datetime.UTC):%H:%M:%S.%f}"


async def read_status(
    endpoint: processes.RunningEndpoint,
) -> dict[str, object] | None:
    """Return the status document of a daemon, None if it does not answer."""
    client = processes.build_client(endpoint.admin)
    answer = await client.request("GET", "/v1/status", {}, is_write=False)
    client.close()
    return answer.ok if answer.is_ok() else None
