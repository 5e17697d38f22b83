"""Checks of running daemons, from their exit codes and their own reports."""

import trio

from umberdrum_bench import processes
from umberdrum_bench.soak import _environment, _spread

MONITOR_INTERVAL_SECONDS = 0.25


class DaemonMonitor:
    """Checks running daemons for unexpected exits and for missing changes."""

    def __init__(self, environment: _environment.SoakEnvironment) -> None:
        self._environment = environment

    async def run(self) -> None:
        """Check every daemon periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            for endpoint in self._environment.cluster.endpoints:
                nursery.start_soon(self._check_forever, endpoint.position)

    async def _check_forever(self, position: int) -> None:
        environment = self._environment
        while True:
            code = environment.poll_unexpected_exit(position)
            if code is not None:
                environment.violations.append(
                    f"exit: daemon {position} ended by itself with code {code}"
                )
            state = await read_state(environment, position)
            if state is not None:
                environment.record_violations(environment.spread.check_state(state))
            await trio.sleep(MONITOR_INTERVAL_SECONDS)


async def read_state(
    environment: _environment.SoakEnvironment, position: int
) -> _spread.DaemonState | None:
    """Ask a daemon for its state; None if it does not answer or is replaced."""
    endpoint = environment.cluster.endpoints[position]
    asked_at = trio.current_time()
    status = await _environment.read_status(endpoint)
    if status is None:
        return None
    versions = await environment.documents.read_versions(endpoint, status)
    if versions is None or not _is_current(environment, endpoint):
        return None
    zones = status["drained_zones"]
    return _spread.DaemonState(
        position,
        endpoint.daemon_process.pid,
        asked_at,
        _is_contact(status),
        versions,
        frozenset(zones if isinstance(zones, list) else ()),
    )


def _is_current(
    environment: _environment.SoakEnvironment, endpoint: processes.RunningEndpoint
) -> bool:
    """Return whether the daemon's process is still the one that was asked."""
    current = environment.cluster.endpoints[endpoint.position]
    return current.daemon_process is endpoint.daemon_process


def _is_contact(status: dict[str, object]) -> bool:
    """Return whether the daemon of a status says that it is a contact."""
    rows = status["endpoints"]
    if not isinstance(rows, list):
        return False
    return any(
        row["endpoint"] == status["daemon"] and row["is_contact"] for row in rows
    )
