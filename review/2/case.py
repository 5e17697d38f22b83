"""A configuration that stays out of force after one answer of the store was lost."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

BOUNDS = {"contact-s": 3, "config-s": 2}
ZONES = sys.argv[1:] or ["zone-a", "zone-b"]
CONTACT_SECONDS = 3.0
CONFIG_SECONDS = 2.0
LOST_FOR_SECONDS = 4.5
WATCHED_SECONDS = 20.0


async def run(site: standins.Site) -> bool:
    """Return whether a moved route is in force in time at machines in touch."""
    rows = []
    for zone in ZONES:
        rows += [(zone, "ledger"), (zone, "switchdesk")]
    await site.start(rows)
    services = ["ledger", "switchdesk"]
    old = standins.build_rule("order", "non_idempotent", "switchdesk", 0.5, 1.2)
    site.publish([old], services)
    await site.wait_until_serving("/order/warm-up")
    await asyncio.sleep(8.0)
    if standins.has_disruption():
        site.store.loses_answer = lambda path: path == "/v1/kv-watch"
    await asyncio.sleep(0.3)
    new = standins.build_rule("order", "non_idempotent", "ledger", 0.5, 1.2)
    n_answered = site.store.n_answered
    site.publish([new], services)
    acknowledged_at = site.record.now()
    await asyncio.sleep(LOST_FOR_SECONDS - 0.3)
    site.store.loses_answer = lambda path: False
    ended_at = site.record.now()
    site.record.write(
        f"the store loses no more answers; it lost {site.store.n_lost} and gave "
        f"{site.store.n_answered - n_answered} since the change"
    )
    due_at = max(acknowledged_at + CONFIG_SECONDS, ended_at + CONTACT_SECONDS)
    calls = []
    while site.record.now() < acknowledged_at + WATCHED_SECONDS:
        for machine in site.machines:
            call = standins.send_request(
                site, machine, "POST", "/order/transfer", "", 1200, b"order"
            )
            calls.append(standins.start_task(call))
        await asyncio.sleep(0.25)
    await asyncio.gather(*calls)
    stale = [
        row.began_at
        for machine in site.machines
        for row in machine.endpoint.runs
        if machine.endpoint.service == "switchdesk" and row.began_at > due_at + 0.5
    ]
    site.record.write(
        f"{len(stale)} requests were run by the old service more than "
        f"{CONFIG_SECONDS:g} s after the acknowledged change, by machines in touch"
    )
    return not stale


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, BOUNDS, run))
