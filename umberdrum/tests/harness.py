"""Daemons, store and upstreams in one process on a virtual clock, for tests.

Everything runs in one trio loop over loopback sockets. The clock jumps to the next
timeout when every task waits. Timeouts of minutes therefore take no real time, and no
test measures real time.
"""

import contextlib
import faulthandler
import itertools
import json
import logging
import os
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple, TypeVar
from unittest import mock

import hypothesis
import trio
import trio.testing

from umberdrum import classes, configuration, logs, settings, sockets, store
from umberdrum.daemon import Daemon
from umberdrum.tests import upstreams
from umberdrum_bench import caller, link, store_server, store_state

# The same examples each time. Hypothesis would also fail a property for the real time
# that its examples take.
PROPERTY_SETTINGS = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
AUTOJUMP_SECONDS = 0.002
# The longest scenario takes about 20 s on a busy machine.
STALL_TIMEOUT_SECONDS = 300.0
ANNOUNCE_SECONDS = 1.0
HOST = "127.0.0.1"
RESERVATION_HOST = "127.99.0.1"
# All ranges end below the ports of the soak and the operating system's ephemeral ports.
# A whole test uses the groups below ``N_GROUPS``.
N_PORTS = 820
N_GROUPS = 30
FIRST_PORT = 5_080 + N_PORTS * int(
    os.environ.get("UMBERDRUM_TEST_GROUP", str(N_GROUPS))
)
LAST_PORT = FIRST_PORT + N_PORTS
CLUSTER_KEY = bytes(range(16))
CALL_TIMEOUT_SECONDS = 60.0
RAW_TIMEOUT_SECONDS = 90.0
GRACE_MS = 60_000

measure_kernel_wait = sockets.Connection.get_seconds_since_receive
_Result = TypeVar("_Result")


def run_on_virtual_clock(function: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run ``function`` in a trio loop whose clock skips waiting times.

    The clock does not advance while any task is ready to run. A loop that repeats a
    wait of length zero would therefore stop the clock for ever. After
    ``STALL_TIMEOUT_SECONDS`` the process dumps all stacks and exits. The kernel uses a
    clock of its own to measure how long bytes have waited, so this is taken to be 0.
    """
    clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_SECONDS)
    faulthandler.dump_traceback_later(STALL_TIMEOUT_SECONDS, exit=True)
    try:
        with replace_wait_measure(lambda _connection: 0.0):
            return trio.run(function, clock=clock)
    finally:
        faulthandler.cancel_dump_traceback_later()


def replace_wait_measure(
    measure: Callable[[sockets.Connection], float],
) -> contextlib.AbstractContextManager[object]:
    """Return a context in which ``measure`` tells how long received bytes waited."""
    name = "get_seconds_since_receive"
    return mock.patch.object(sockets.Connection, name, measure)


class SlowPasses(trio.abc.Instrument):
    """Makes each pass of the scheduler in which a task runs take some time.

    All daemons of a test run in the same passes, as if each were on a machine of its
    own that is short of processor time. Use it on the virtual clock.
    """

    def __init__(self, pass_seconds: float) -> None:
        self._pass_seconds = pass_seconds
        self._has_run = False

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Record that the pass is not empty."""
        self._has_run = True

    def before_io_wait(self, timeout: float) -> None:
        """Let the time of a pass go by after it has ended."""
        if not (self._has_run and self._pass_seconds):
            return
        self._has_run = False
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(self._pass_seconds)


_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
_reservations: dict[int, socket.socket] = {}


def find_free_address(host: str = HOST) -> settings.Address:
    """Return a loopback address whose TCP and UDP ports are currently free.

    The ports are below the ephemeral range, so that no outgoing connection takes one
    before the test binds it. They stay reserved for this process, so that two test runs
    on one machine do not collide.
    """
    for port in _ports:
        if not _reserve(port):
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            # As for the listeners themselves, closed connections keep no port in use.
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                tcp.bind((host, port))
                udp.bind((host, port))
                return settings.Address(host, port)
    raise OSError("no port is free")


def _reserve(port: int) -> bool:
    """Reserve ``port`` by binding it at ``RESERVATION_HOST``; False if it is taken."""
    if port in _reservations:
        return True
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reservations[port] = reservation
    return True


class Node(NamedTuple):
    """One endpoint of a site: daemon, upstream, and its link proxy, if any."""

    settings: settings.Settings
    daemon: Daemon
    upstream: upstreams.FakeUpstream
    scope: trio.CancelScope
    link: link.LinkProxy | None
    log_lines: list[str]

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint: the advertised peer address."""
        return str(self.settings.peer_advertise)


class _LogCollector(logging.Handler):
    """Log handler that collects messages in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


class Site:
    """A test site: a store stand-in and a cluster of endpoints in one process."""

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        server_type: type[store_server.StoreServer] = store_server.StoreServer,
    ) -> None:
        self._nursery = nursery
        self._rng = random.Random(seed)
        self.state = store_state.StoreState()
        self.faults = store_server.StoreFaults()
        self.server = server_type(self.state, self.faults)
        self.store_address = find_free_address()
        self.nodes: list[Node] = []
        self.pool = caller.CallerPool()
        self.counter = store.StoreCallCounter()
        # Whether daemons of this site may log errors in their tasks.
        self.expects_errors = False

    def start_store(self) -> None:
        """Start to serve the store stand-in and to expire its leases."""
        listener = sockets.bind_tcp(self.store_address)
        self._nursery.start_soon(self.server.expire_leases_forever)
        self._nursery.start_soon(
            sockets.accept_connections, listener, self.server.serve, 500
        )

    def build_repository(self) -> configuration.ClassRepository:
        """Return a repository of the classes, as the operator commands use it."""
        return configuration.ClassRepository(self.build_store(), "umberdrum")

    def build_store(self) -> store.EtcdStore:
        """Return a client of the store stand-in."""
        return store.EtcdStore((self.store_address,), self.counter, 2.0)

    async def create_class(
        self,
        name: str,
        service: str,
        path: str = "/",
        is_idempotent: bool = True,
        target_ms: int = 200,
    ) -> None:
        """Write a new class to the store."""
        request_class = classes.RequestClass(
            name,
            service,
            (),
            path,
            is_idempotent,
            classes.Target(target_ms, 99.0),
            f"change-{name}",
        )
        written = await self.build_repository().write_class(request_class, 0)
        assert written.is_ok(), written

    async def add_node(
        self,
        service: str,
        zone: str = "az1",
        region: str = "r1",
        n_slots: int = 4,
        has_link: bool = False,
        replaces: Node | None = None,
        state: str = "serving",
        seeds: tuple[settings.Address, ...] = (),
        host: str = HOST,
        leave_accept_ms: int = 0,
        grace_ms: int = GRACE_MS,
    ) -> Node:
        """Start one endpoint; ``replaces`` gives it the addresses of an earlier one."""
        if replaces is not None:
            node_settings = replaces.settings
            upstream = upstreams.FakeUpstream(replaces.upstream.address)
        else:
            node_settings = self._build_settings(zone, region, has_link, host)
            upstream = upstreams.FakeUpstream(find_free_address())
        node_settings = node_settings._replace(
            seeds=seeds, leave_accept_ms=leave_accept_ms, grace_ms=grace_ms
        )
        logger = logging.Logger(f"node-{len(self.nodes)}")
        log_handler = _LogCollector()
        logger.addHandler(log_handler)
        rng = random.Random(self._rng.getrandbits(64))
        daemon = Daemon(node_settings, logger, logs.LineWriter(2), rng)
        link_proxy = None
        if node_settings.peer_advertise != node_settings.peer_listen:
            link_proxy = link.LinkProxy(
                node_settings.peer_advertise, node_settings.peer_listen
            )
        scope = await self._nursery.start(self._run_node, daemon, upstream, link_proxy)
        node = Node(
            node_settings, daemon, upstream, scope, link_proxy, log_handler.lines
        )
        self.nodes.append(node)
        if service:
            upstream.state = state
            self._nursery.start_soon(self._announce_forever, node, service, n_slots)
        return node

    async def announce(
        self, node: Node, service: str, n_slots: int, state: str
    ) -> None:
        """Send one announcement of a node's upstream."""
        document = {
            "service": service,
            "address": str(node.upstream.address),
            "slots": n_slots,
            "state": state,
        }
        body = json.dumps(document).encode()
        await self.send_raw(
            node.settings.announce_listen,
            b"PUT /v1/upstream HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
            b"content-length: %d\r\n\r\n" % len(body) + body,
        )

    async def send_raw(self, address: settings.Address, raw: bytes) -> bytes:
        """Send raw bytes; return all bytes received until close, timeout or loss."""
        try:
            connection = await sockets.connect(address, 1.0)
        except sockets.ConnectionLostError:
            return b""
        received = b""
        try:
            with trio.move_on_after(RAW_TIMEOUT_SECONDS):
                await connection.send(raw)
                while data := await connection.receive():
                    received += data
        except sockets.ConnectionLostError:
            pass
        finally:
            connection.close()
        return received

    async def call(
        self,
        node: Node,
        service: str,
        nonce: str,
        path: str = "/",
        fault: str = "",
        body: bytes = b"",
        deadline_ms: int = 0,
        request_id: str = "",
    ) -> caller.CallerAnswer:
        """Send one call through ``node`` as the entry daemon and return the answer."""
        request = caller.CallerRequest(
            service,
            "POST" if body else "GET",
            path,
            request_id or f"id-{nonce}",
            nonce,
            body,
            deadline_ms,
            fault,
        )
        address = node.settings.caller_listen
        return await self.pool.call(address, request, CALL_TIMEOUT_SECONDS)

    async def wait_until(
        self, condition: Callable[[], bool], limit_seconds: float = 60.0
    ) -> None:
        """Poll until ``condition`` holds; raise ``TooSlowError`` after the limit."""
        with trio.fail_after(limit_seconds):
            while not condition():
                await trio.sleep(0.05)

    async def wait_until_known(
        self, n_classes: int, limit_seconds: float = 60.0
    ) -> None:
        """Wait until all running nodes know each other and at least ``n_classes``."""
        await self.wait_until(lambda: self.is_known(n_classes), limit_seconds)

    def is_known(self, n_classes: int) -> bool:
        """Return whether all running nodes know each other.

        Each of them must also hold at least ``n_classes`` classes.
        """
        running = [node for node in self.nodes if not node.scope.cancel_called]
        for node in running:
            parts = node.daemon.parts
            if parts is None:
                return False
            if len(parts.state.catalog.list_classes()) < n_classes:
                return False
            live = [record for record in parts.table.records if record.is_live]
            if len(live) < len(running):
                return False
        return True

    def kill(self, node: Node) -> None:
        """Cancel a node at once, as in a crash; no other node is notified."""
        node.scope.cancel()

    def count_runs(self, nonce: str) -> int:
        """Return how often upstreams began to run the request with this nonce."""
        return sum(node.upstream.begun.count(nonce) for node in self.nodes)

    async def _announce_forever(self, node: Node, service: str, n_slots: int) -> None:
        while not node.scope.cancel_called:
            await self.announce(node, service, n_slots, node.upstream.state)
            await trio.sleep(ANNOUNCE_SECONDS)

    async def _run_node(
        self,
        daemon: Daemon,
        upstream: upstreams.FakeUpstream,
        link_proxy: link.LinkProxy | None,
        task_status: trio.TaskStatus[trio.CancelScope],
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                listener = sockets.bind_tcp(upstream.address)
                serve = sockets.accept_connections
                nursery.start_soon(serve, listener, upstream.serve, 500)
                if link_proxy is not None:
                    await nursery.start(link_proxy.run)
                await nursery.start(daemon.run)
                task_status.started(scope)
                await daemon.wait_stopped()
                nursery.cancel_scope.cancel()
            scope.cancel()

    def _build_settings(
        self, zone: str, region: str, has_link: bool, host: str
    ) -> settings.Settings:
        peer = find_free_address(host)
        advertise = find_free_address(host) if has_link else peer
        text = "\n".join(
            [
                "[instance]",
                f"availability_zone = {zone}",
                f"region = {region}",
                "[listen]",
                f"caller = {find_free_address()}",
                f"peer = {peer}",
                f"peer_advertise = {advertise}",
                f"admin = {find_free_address()}",
                f"announce = {find_free_address()}",
                "[cluster]",
                f"key = {CLUSTER_KEY.hex()}",
                "[store]",
                f"addresses = {self.store_address}",
            ]
        )
        parsed = settings.parse_settings(text)
        assert parsed.is_ok(), parsed
        return parsed.ok


def check_no_errors(daemons: list[Daemon]) -> None:
    """Fail if a task of a daemon raised an error that its supervisor only logged."""
    counts = [daemon.errors.n_errors for daemon in daemons if daemon.errors.n_errors]
    assert not counts, counts


@contextlib.asynccontextmanager
async def open_site(
    seed: int = 1,
    server_type: type[store_server.StoreServer] = store_server.StoreServer,
) -> AsyncIterator[Site]:
    """Open a site with an empty store; leaving the block cancels all its tasks."""
    async with trio.open_nursery() as nursery:
        site = Site(nursery, seed, server_type)
        site.start_store()
        try:
            yield site
            if not site.expects_errors:
                check_no_errors([node.daemon for node in site.nodes])
        finally:
            site.pool.close()
            nursery.cancel_scope.cancel()
