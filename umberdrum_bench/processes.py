"""Processes of the demo and the bench: store, daemons, upstreams and links."""

import os
import pathlib
import signal
import subprocess
import sys
from typing import NamedTuple

import trio

from umberdrum import errors, jsonclient, settings

HOST = "127.0.0.1"
STOP_TIMEOUT_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
CLUSTER_KEY = "00112233445566778899aabbccddeeff"


class EndpointPlan(NamedTuple):
    """One endpoint to start: daemon and upstream in an availability zone.

    ``has_link`` puts a link stand-in in front of the daemon's peer address.
    """

    service: str
    availability_zone: str
    region: str
    n_slots: int
    has_link: bool = False


class ClusterOptions(NamedTuple):
    """Options of all daemons of a cluster."""

    base_port: int
    directory: pathlib.Path
    measuring_bytes_per_second: int = 1000
    routing_policy: str = "finish_time"
    log_level: str = "info"
    is_instant: bool = False
    has_upstreams: bool = True
    mean_ms: float = 0.0
    seed: int = 1


class RunningEndpoint(NamedTuple):
    """Addresses and processes of one endpoint."""

    position: int
    plan: EndpointPlan
    caller: settings.Address
    peer: settings.Address
    admin: settings.Address
    upstream: settings.Address
    record_path: pathlib.Path
    log_path: pathlib.Path
    daemon_process: "subprocess.Popen[bytes]"
    upstream_process: "subprocess.Popen[bytes] | None"
    link_process: "subprocess.Popen[bytes] | None"


class Cluster:
    """A store stand-in and endpoints, as plain processes on the loopback interface.

    Each endpoint takes six ports from ``base_port`` on. ``stop`` ends every process
    that was started here, by its process id.
    """

    def __init__(self, options: ClusterOptions) -> None:
        self.options = options
        self.store = settings.Address(HOST, options.base_port)
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
        """Start one more endpoint."""
        index = len(self.endpoints)
        endpoint = self._start_endpoint(index, plan)
        self.endpoints.append(endpoint)
        return endpoint

    def restart_endpoint(self, index: int) -> RunningEndpoint:
        """Start an endpoint whose processes have ended again, at its old addresses."""
        endpoint = self._start_endpoint(index, self.endpoints[index].plan)
        self.endpoints[index] = endpoint
        return endpoint

    async def wait_until_ready(self, n_classes: int) -> None:
        """Return once every daemon knows all endpoints and ``n_classes`` classes.

        Raises ``trio.TooSlowError``.
        """
        with trio.fail_after(READY_TIMEOUT_SECONDS):
            for endpoint in self.endpoints:
                while not await self._is_ready(endpoint, n_classes):
                    await trio.sleep(POLL_SECONDS)

    async def switch_store_faults(self, **faults: object) -> None:
        """Switch faults of the store stand-in."""
        client = build_client(self.store)
        await client.request("POST", "/standin/faults", faults, is_write=False)
        client.close()

    def stop(self) -> None:
        """End every process; those that don't end in time are killed."""
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

    def _start_endpoint(self, index: int, plan: EndpointPlan) -> RunningEndpoint:
        port = self.options.base_port + 10 + index * 6
        caller, peer, admin, announce, upstream, link = (
            settings.Address(HOST, port + offset) for offset in range(6)
        )
        name = f"{index:03d}"
        settings_path = self.options.directory / f"daemon-{name}.ini"
        advertised = link if plan.has_link else peer
        settings_path.write_text(
            self._render_settings(plan, caller, peer, advertised, admin, announce)
        )
        link_process = None
        if plan.has_link:
            link_process = self._spawn(
                f"link-{name}",
                ["umberdrum_bench.link", "--listen", str(link), "--target", str(peer)],
            )
        daemon_process = self._spawn(
            f"daemon-{name}",
            ["umberdrum.daemon.main", "--settings", str(settings_path)],
        )
        record_path = self.options.directory / f"record-{name}.txt"
        arguments = [
            "umberdrum_bench.upstream",
            *("--listen", str(upstream), "--announce", str(announce)),
            *("--service", plan.service, "--slots", str(plan.n_slots)),
            *("--record", str(record_path), "--seed", str(self.options.seed + index)),
        ]
        if self.options.mean_ms:
            arguments += ["--mean-ms", str(self.options.mean_ms)]
        if self.options.is_instant:
            arguments.append("--instant")
        upstream_process = None
        if self.options.has_upstreams:
            upstream_process = self._spawn(f"upstream-{name}", arguments)
        return RunningEndpoint(
            index,
            plan,
            caller,
            peer,
            admin,
            upstream,
            record_path,
            self.options.directory / f"daemon-{name}.log",
            daemon_process,
            upstream_process,
            link_process,
        )

    def _render_settings(
        self,
        plan: EndpointPlan,
        caller: settings.Address,
        peer: settings.Address,
        advertised: settings.Address,
        admin: settings.Address,
        announce: settings.Address,
    ) -> str:
        options = self.options
        lines = [
            "[instance]",
            f"availability_zone = {plan.availability_zone}",
            f"region = {plan.region}",
            "[listen]",
            f"caller = {caller}",
            f"peer = {peer}",
            f"peer_advertise = {advertised}",
            f"admin = {admin}",
            f"announce = {announce}",
            "[cluster]",
            f"key = {CLUSTER_KEY}",
            "[store]",
            f"addresses = {self.store}",
            "[measuring]",
            f"bytes_per_second = {options.measuring_bytes_per_second}",
            "[routing]",
            f"policy = {options.routing_policy}",
            "[log]",
            f"level = {options.log_level}",
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


def build_client(address: settings.Address) -> jsonclient.JsonClient:
    """Return a client for the JSON of stand-ins and admin addresses."""
    kind = errors.ErrorKind.DAEMON_UNAVAILABLE
    kinds = jsonclient.FailureKinds(kind, kind)
    return jsonclient.JsonClient((address,), 2.0, kinds)
