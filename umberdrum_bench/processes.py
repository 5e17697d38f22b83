"""Starts and stops the processes of the demo and the benchmarks."""

import os
import pathlib
import signal
import subprocess
import sys
from typing import NamedTuple

import trio

from umberdrum import errors, jsonclient, settings

LOOPBACK_HOST = "127.0.0.1"
STOP_TIMEOUT_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1
CLUSTER_KEY = "00112233445566778899aabbccddeeff"
FIRST_ENDPOINT_PORT_OFFSET = 10
N_PORTS_PER_ENDPOINT = 7


class EndpointPlan(NamedTuple):
    """One endpoint to start: a daemon and its upstream in an availability zone.

    ``has_link`` starts a link proxy in front of the daemon's peer address. With
    ``has_external_links`` the caller of this module runs the link proxies in front of
    the peer address and the store.
    """

    service: str
    availability_zone: str
    region: str
    n_slots: int
    has_link: bool = False
    has_external_links: bool = False


class ClusterOptions(NamedTuple):
    """Options of a cluster, its daemons and its upstreams.

    ``n_contacts_per_zone`` is the setting of the daemons, 0 for their defaults.
    """

    base_port: int
    directory: pathlib.Path
    measuring_bytes_per_second: int = 1000
    routing_policy: str = "finish_time"
    log_level: str = "info"
    is_instant: bool = False
    has_upstreams: bool = True
    mean_ms: float = 0.0
    seed: int = 1
    daemon_module: str = "umberdrum.startup"
    n_contacts_per_zone: int = 0


class EndpointAddresses(NamedTuple):
    """Addresses of one endpoint and of its link proxies.

    ``peer_link`` forwards to the peer address, ``store_link`` to the store.
    """

    caller: settings.Address
    peer: settings.Address
    admin: settings.Address
    announce: settings.Address
    upstream: settings.Address
    peer_link: settings.Address
    store_link: settings.Address


class RunningEndpoint(NamedTuple):
    """Addresses, files and processes of one endpoint."""

    position: int
    plan: EndpointPlan
    addresses: EndpointAddresses
    settings_path: pathlib.Path
    record_path: pathlib.Path
    log_path: pathlib.Path
    daemon_process: "subprocess.Popen[bytes]"
    upstream_process: "subprocess.Popen[bytes] | None"
    link_process: "subprocess.Popen[bytes] | None"

    @property
    def caller(self) -> settings.Address:
        """Address at which the daemon listens for callers."""
        return self.addresses.caller

    @property
    def peer(self) -> settings.Address:
        """Address at which the daemon listens for peers, behind any link proxy."""
        return self.addresses.peer

    @property
    def admin(self) -> settings.Address:
        """Admin address of the daemon."""
        return self.addresses.admin

    @property
    def upstream(self) -> settings.Address:
        """Address of the upstream."""
        return self.addresses.upstream


class Cluster:
    """A store stand-in and endpoints, as processes on the loopback interface.

    The store uses ``base_port``. Each endpoint uses ``N_PORTS_PER_ENDPOINT`` ports, the
    first one from ``base_port + FIRST_ENDPOINT_PORT_OFFSET`` on. ``stop`` ends every
    process that this object started, by its process id.
    """

    def __init__(self, options: ClusterOptions) -> None:
        self.options = options
        self.store = settings.Address(LOOPBACK_HOST, options.base_port)
        self.endpoints: list[RunningEndpoint] = []
        self._processes: list[subprocess.Popen[bytes]] = []
        options.directory.mkdir(parents=True, exist_ok=True)

    def start(self, plans: list[EndpointPlan]) -> None:
        """Start the store and all endpoints."""
        self._spawn(
            "store", ["umberdrum_bench.store_server", "--listen", str(self.store)]
        )
        for plan in plans:
            self.add_endpoint(plan)

    def add_endpoint(self, plan: EndpointPlan) -> RunningEndpoint:
        """Start another endpoint at the next free ports."""
        index = len(self.endpoints)
        endpoint = self._start_endpoint(index, plan)
        self.endpoints.append(endpoint)
        return endpoint

    def restart_endpoint(self, index: int) -> RunningEndpoint:
        """Restart an endpoint whose processes have ended, at the same addresses."""
        endpoint = self._start_endpoint(index, self.endpoints[index].plan)
        self.endpoints[index] = endpoint
        return endpoint

    async def wait_until_ready(self, n_classes: int) -> None:
        """Return once every daemon knows all endpoints and ``n_classes`` classes.

        Raises ``trio.TooSlowError`` after ``READY_TIMEOUT_SECONDS``.
        """
        with trio.fail_after(READY_TIMEOUT_SECONDS):
            for endpoint in self.endpoints:
                while not await self._is_ready(endpoint, n_classes):
                    await trio.sleep(POLL_INTERVAL_SECONDS)

    async def switch_store_faults(self, **faults: object) -> None:
        """Switch faults of the store stand-in on or off."""
        client = build_client(self.store)
        await client.request("POST", "/standin/faults", faults, is_write=False)
        client.close()

    def stop(self) -> None:
        """Terminate every process; kill those that outlast ``STOP_TIMEOUT_SECONDS``."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._processes:
            try:
                process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    async def _is_ready(self, endpoint: RunningEndpoint, n_classes: int) -> bool:
        client = build_client(endpoint.admin)
        answer = await client.request("GET", "/v1/status", {}, is_write=False)
        client.close()
        if answer.is_error():
            return False
        serving = [row for row in answer.ok["endpoints"] if row["state"] == "serving"]
        n_known = len(answer.ok["classes"])
        return len(serving) >= len(self.endpoints) and n_known >= n_classes

    def restart_daemon(self, index: int) -> None:
        """Restart the daemon of an endpoint at the same addresses."""
        endpoint = self.endpoints[index]
        process = self._spawn_daemon(index, endpoint.settings_path)
        self.endpoints[index] = endpoint._replace(daemon_process=process)

    def restart_upstream(self, index: int) -> None:
        """Restart the upstream of an endpoint at the same address."""
        endpoint = self.endpoints[index]
        process = self._spawn_upstream(index, endpoint.plan, endpoint.addresses)
        self.endpoints[index] = endpoint._replace(upstream_process=process)

    def write_settings(self, index: int, log_level: str) -> None:
        """Rewrite the settings file of an endpoint's daemon with another log level."""
        endpoint = self.endpoints[index]
        text = self._render_settings(endpoint.plan, endpoint.addresses, log_level)
        endpoint.settings_path.write_text(text)

    def _start_endpoint(self, index: int, plan: EndpointPlan) -> RunningEndpoint:
        port = (
            self.options.base_port
            + FIRST_ENDPOINT_PORT_OFFSET
            + index * N_PORTS_PER_ENDPOINT
        )
        addresses = EndpointAddresses(
            *(
                settings.Address(LOOPBACK_HOST, port + offset)
                for offset in range(N_PORTS_PER_ENDPOINT)
            )
        )
        name = f"{index:03d}"
        directory = self.options.directory
        settings_path = directory / f"daemon-{name}.ini"
        log_level = self.options.log_level
        settings_path.write_text(self._render_settings(plan, addresses, log_level))
        link_process = None
        if plan.has_link:
            arguments = [
                "umberdrum_bench.link",
                *("--listen", str(addresses.peer_link)),
                *("--target", str(addresses.peer)),
            ]
            link_process = self._spawn(f"link-{name}", arguments)
        daemon_process = self._spawn_daemon(index, settings_path)
        upstream_process = None
        if self.options.has_upstreams:
            upstream_process = self._spawn_upstream(index, plan, addresses)
        return RunningEndpoint(
            index,
            plan,
            addresses,
            settings_path,
            self._get_record_path(index),
            directory / f"daemon-{name}.log",
            daemon_process,
            upstream_process,
            link_process,
        )

    def _get_record_path(self, index: int) -> pathlib.Path:
        return self.options.directory / f"record-{index:03d}.txt"

    def _spawn_daemon(
        self, index: int, settings_path: pathlib.Path
    ) -> "subprocess.Popen[bytes]":
        module = self.options.daemon_module
        arguments = [module, "--settings", str(settings_path)]
        return self._spawn(f"daemon-{index:03d}", arguments)

    def _spawn_upstream(
        self, index: int, plan: EndpointPlan, addresses: EndpointAddresses
    ) -> "subprocess.Popen[bytes]":
        arguments = [
            "umberdrum_bench.upstream",
            *("--listen", str(addresses.upstream)),
            *("--announce", str(addresses.announce)),
            *("--service", plan.service, "--slots", str(plan.n_slots)),
            *("--record", str(self._get_record_path(index))),
            *("--seed", str(self.options.seed + index)),
        ]
        if self.options.mean_ms:
            arguments += ["--mean-ms", str(self.options.mean_ms)]
        if self.options.is_instant:
            arguments.append("--instant")
        return self._spawn(f"upstream-{index:03d}", arguments)

    def _render_settings(
        self, plan: EndpointPlan, addresses: EndpointAddresses, log_level: str
    ) -> str:
        options = self.options
        has_link = plan.has_link or plan.has_external_links
        lines = [
            "[instance]",
            f"availability_zone = {plan.availability_zone}",
            f"region = {plan.region}",
            "[listen]",
            f"caller = {addresses.caller}",
            f"peer = {addresses.peer}",
            f"peer_advertise = {addresses.peer_link if has_link else addresses.peer}",
            f"admin = {addresses.admin}",
            f"announce = {addresses.announce}",
            "[cluster]",
            f"key = {CLUSTER_KEY}",
            *_render_contacts(options.n_contacts_per_zone),
            "[store]",
            "addresses = "
            f"{addresses.store_link if plan.has_external_links else self.store}",
            "[measuring]",
            f"bytes_per_second = {options.measuring_bytes_per_second}",
            "[routing]",
            f"policy = {options.routing_policy}",
            "[log]",
            f"level = {log_level}",
        ]
        return "\n".join(lines) + "\n"

    def _spawn(self, name: str, arguments: list[str]) -> "subprocess.Popen[bytes]":
        log_path = self.options.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        self._processes.append(process)
        return process


def _render_contacts(n_per_zone: int) -> list[str]:
    if not n_per_zone:
        return []
    return [f"contacts_per_zone = {n_per_zone}", f"min_contacts = {n_per_zone}"]


def build_client(address: settings.Address) -> jsonclient.JsonClient:
    """Return a JSON client for a stand-in or an admin address."""
    kind = errors.ErrorKind.DAEMON_UNAVAILABLE
    kinds = jsonclient.FailureKinds(kind, kind)
    return jsonclient.JsonClient((address,), 2.0, kinds)
