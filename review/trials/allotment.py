"""Trial, no case: requests of one tenant that run while all daemons are killed.

``python3 review/trials/allotment.py 0.3 2.0`` kills all daemons 0.3 and 2.0 s after the
tenant begins to send many times its allotment, and prints the most requests of it that
ran in any window, and how many the rule QUOTA allows there.
"""

import asyncio
import json
import pathlib
import secrets
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

WINDOW_SECONDS = 5.0
BOUNDS = {
    "quota-window-s": WINDOW_SECONDS,
    "quota-over": 0.1,
    "quota-slack": 20,
    "cold-over": 1.5,
    "cold-slack": 8,
}
RATE = 2.0
BURST = 4.0
FLOOD_SECONDS = 14.0
SEND_INTERVAL_SECONDS = 0.05
DOWN_SECONDS = 0.3


def publish(site: standins.Site) -> None:
    """Write a configuration with two tenants."""
    document = {
        "version": "00000007",
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1 << 26,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "listeners": [
            {
                "host": standins.HOST_NAME,
                "policy": [standins.build_rule("look", "idempotent", "s1", 1.0, 2.0)],
            }
        ],
        "clusters": [{"name": "s1", "health-path": "/healthz", "max-conns": 240}],
        "tenants": [
            {"name": "hot", "api-keys": ["k1"], "rate-per-s": RATE, "burst": BURST},
            {"name": "calm", "api-keys": ["k2"], "rate-per-s": 50, "burst": 50},
        ],
    }
    site.store.put("op/config", json.dumps(document).encode())


async def send(machine: standins.Machine, key: str) -> tuple[str, int]:
    """Send one request with a key; return its id and the status, 0 without one."""
    request_id = secrets.token_hex(8)
    fields = [("Host", standins.HOST_NAME), ("X-Request-Id", request_id)]
    fields += [("X-Deadline-Ms", "1000"), ("Authorization", f"Bearer {key}")]
    try:
        async with asyncio.timeout(1.5):
            reader, writer = await standins.connect(machine.outbound)
            writer.write(standins.render("GET /look/1 HTTP/1.1", fields))
            head = await standins.read_head(reader)
            writer.close()
    except (TimeoutError, OSError):
        return request_id, 0
    return request_id, int(head.start.split(" ")[1]) if head is not None else 0


async def flood(
    site: standins.Site, machine: standins.Machine, ids: set[str], until: float
) -> None:
    """Send many times the allotment of the tenant to one daemon."""

    async def send_one() -> None:
        request_id, _ = await send(machine, "k1")
        ids.add(request_id)

    while site.record.now() < until:
        standins.start_task(send_one())
        await asyncio.sleep(SEND_INTERVAL_SECONDS)


async def run(site: standins.Site) -> bool:
    """Return whether no window holds more than the rule allows."""
    kills = [float(text) for text in sys.argv[1:]]
    await site.start([("zone-a", "s1")] * 3)
    publish(site)
    for machine in site.machines:
        while (await send(machine, "k2"))[1] != 200:
            await asyncio.sleep(0.1)
    await asyncio.sleep(12.0)
    ids: set[str] = set()
    began_at = site.record.now()
    until = began_at + FLOOD_SECONDS
    floods = [
        standins.start_task(flood(site, machine, ids, until))
        for machine in site.machines
    ]
    for seconds in kills:
        await asyncio.sleep(began_at + seconds - site.record.now())
        for machine in site.machines:
            machine.send_signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_SECONDS)
        for machine in site.machines:
            await machine.start_daemon()
    await asyncio.gather(*floods)
    await asyncio.sleep(2.0)
    times = [
        row.began_at
        for machine in site.machines
        for row in machine.endpoint.runs
        if row.request_id in ids
    ]
    most = 0
    for start in times:
        n_runs = sum(1 for at in times if start <= at < start + WINDOW_SECONDS)
        most = max(most, n_runs)
    allowed = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20
    print(f"kills at {kills}: most in a window {most}, allowed {allowed:g}")
    return most <= allowed


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, BOUNDS, run))
