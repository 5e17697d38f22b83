"""Operators' documents of a soak, which decide the calls: classes or a route table."""

import random
from collections.abc import Mapping
from typing import NamedTuple, Protocol

import trio

from umberdrum import classes, configuration, settings, store
from umberdrum_bench import processes, route_document
from umberdrum_bench.soak import _spread

TARGET_MS = 500
PERCENTILE = 99.0
# Long enough that daemons fetch the table over peer links.
N_IDLE_ROUTES = 300
MAX_OUTCOME_READS = 5
OUTCOME_READ_SECONDS = 0.3


class ClassPlan(NamedTuple):
    """Class of a soak, the rate of its calls and the size of their bodies."""

    name: str
    service: str
    path: str
    method: str
    is_idempotent: bool
    calls_per_second: float
    n_body_bytes: int


CLASS_PLANS = (
    ClassPlan("lookups", "cards", "/cards", "GET", True, 40.0, 0),
    ClassPlan("renewals", "payments", "/payments", "POST", False, 25.0, 300),
    ClassPlan("uploads", "payments", "/photos", "POST", False, 4.0, 100_000),
)


class Documents(Protocol):
    """Interface of the documents that a soak creates and changes.

    ``daemon_module`` is the program of the daemons that follow them, and ``n_classes``
    the number of classes among them.
    """

    daemon_module: str
    n_classes: int

    async def create(self) -> None:
        """Create the documents, with retries while the store refuses the writes."""

    async def change(self) -> None:
        """Change a random document; store errors are ignored."""

    async def read_versions(
        self, endpoint: processes.RunningEndpoint, status: Mapping[str, object]
    ) -> dict[str, int] | None:
        """Return the versions in force at a daemon, None if it does not tell."""


class ClassDocuments:
    """A short document for each class, which spreads in datagrams."""

    daemon_module = "umberdrum.startup"
    n_classes = len(CLASS_PLANS)

    def __init__(
        self, address: settings.Address, spread: _spread.SpreadChecker, seed: int
    ) -> None:
        self._address = address
        self._spread = spread
        self._rng = random.Random(f"classes {seed}")
        self._n_changes = 0

    async def create(self) -> None:
        """Create all classes, with retries while the store refuses the writes."""
        for plan in CLASS_PLANS:
            while not await self._write_class(plan, 0):
                await trio.sleep(processes.POLL_INTERVAL_SECONDS)

    async def change(self) -> None:
        """Change the target of a random class; store errors are ignored."""
        plan = self._rng.choice(CLASS_PLANS)
        repository, client = self._open_repository()
        try:
            found = await repository.get_class(plan.name)
        finally:
            client.close()
        if found.is_ok() and found.ok is not None:
            await self._write_class(plan, found.ok.revision)

    async def read_versions(
        self, endpoint: processes.RunningEndpoint, status: Mapping[str, object]
    ) -> dict[str, int] | None:
        """Return the revision of each class from the daemon's status."""
        versions = {"catalog": int(str(status["catalog_revision"]))}
        rows = status["classes"]
        if isinstance(rows, list):
            versions |= {row["name"]: int(row["revision"]) for row in rows}
        return versions

    async def _write_class(self, plan: ClassPlan, expected_revision: int) -> bool:
        self._n_changes += 1
        request_class = classes.RequestClass(
            plan.name,
            plan.service,
            (plan.method,),
            plan.path,
            plan.is_idempotent,
            classes.Target(TARGET_MS + self._n_changes, PERCENTILE),
            f"soak-{self._n_changes}",
        )
        repository, client = self._open_repository()
        try:
            written = await repository.write_class(request_class, expected_revision)
        finally:
            client.close()
        if written.is_error():
            return False
        revision = written.ok.revision
        self._spread.record_change(plan.name, revision, trio.current_time())
        return True

    def _open_repository(
        self,
    ) -> tuple[configuration.ClassRepository, store.EtcdStore]:
        client = store.EtcdStore((self._address,), store.StoreCallCounter())
        repository = configuration.ClassRepository(client, route_document.STORE_PREFIX)
        return repository, client


class RouteDocuments:
    """One long document for all routes, which daemons fetch from each other."""

    daemon_module = "umberdrum_bench.routed_daemon"
    n_classes = 0

    def __init__(
        self, address: settings.Address, spread: _spread.SpreadChecker
    ) -> None:
        self._address = address
        self._spread = spread
        self._version = 0
        self._lock = trio.Lock()

    async def create(self) -> None:
        """Publish the first table, with retries while the store refuses it."""
        while not await self._publish():
            await trio.sleep(processes.POLL_INTERVAL_SECONDS)

    async def change(self) -> None:
        """Publish a table with another set of idle routes; store errors are ignored."""
        async with self._lock:
            await self._publish()

    async def read_versions(
        self, endpoint: processes.RunningEndpoint, status: Mapping[str, object]
    ) -> dict[str, int] | None:
        """Return the version with which the daemon matches calls."""
        client = processes.build_client(endpoint.admin)
        answer = await client.request("GET", "/v1/where?host=none", {}, is_write=False)
        client.close()
        if answer.is_error():
            return None
        return {route_document.DOCUMENT_NAME: int(str(answer.ok["version"]))}

    async def _publish(self) -> bool:
        """Write the next version; return whether the store has accepted it."""
        self._version += 1
        client = store.EtcdStore((self._address,), store.StoreCallCounter())
        try:
            is_accepted = await self._write(client, self._build_document())
        finally:
            client.close()
        if is_accepted:
            name = route_document.DOCUMENT_NAME
            self._spread.record_change(name, self._version, trio.current_time())
        return is_accepted

    async def _write(self, client: store.EtcdStore, document: bytes) -> bool:
        """Write the document, and read it back if the answer was lost."""
        key = route_document.build_key()
        got = await client.get(key)
        if got.is_error():
            return False
        revision = got.ok.mod_revision if got.ok is not None else 0
        written = await client.compare_and_swap(key, revision, document)
        if written.is_ok():
            return written.ok.is_applied
        for _ in range(MAX_OUTCOME_READS):
            await trio.sleep(OUTCOME_READ_SECONDS)
            got = await client.get(key)
            if got.is_ok():
                return got.ok is not None and got.ok.value == document
        return False

    def _build_document(self) -> bytes:
        routes = [
            route_document.DocumentRoute(
                plan.service, f"{plan.path}/", plan.is_idempotent
            )
            for plan in CLASS_PLANS
        ]
        for index in range(N_IDLE_ROUTES):
            path = f"/idle/{self._version}/{index}/"
            routes.append(route_document.DocumentRoute("cards", path, True))
        return route_document.encode_document(self._version, routes)
