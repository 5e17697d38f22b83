"""A request that is cut by a stopping daemon long before its grace period ends."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

GRACE_SECONDS = 10.0
BOUNDS = {"grace-s": 10, "contact-s": 4, "lost-slack-s": 0.2, "config-s": 3}
BUDGET_MS = 5000
WORK_SECONDS = 4.0
# The machine counts as ready until its second miss, just under 2 s after the signal.
SENT_AFTER_SECONDS = (0.5, 1.0, 1.6, 1.7, 1.8)


async def run(site: standins.Site) -> bool:
    """Return whether each request that was read gets its endpoint's answer."""
    await site.start([("zone-a", "kaardid"), ("zone-a", "pildid")])
    entry, other = site.machines
    rule = standins.build_rule("roster", "idempotent", "pildid", 1.2, 5.0)
    site.publish([rule], ["kaardid", "pildid"])
    await site.wait_until_serving("/roster/warm-up")
    await asyncio.sleep(5.0)
    other.endpoint.work_seconds = lambda head: WORK_SECONDS
    await entry.wait_for_check()
    if standins.has_disruption():
        entry.send_signal(signal.SIGTERM)
    stopped_at = site.record.now()
    calls = []
    for seconds in SENT_AFTER_SECONDS:
        await asyncio.sleep(stopped_at + seconds - site.record.now())
        if not entry.is_in:
            break
        call = standins.send_request(
            site, entry, "GET", f"/roster/{len(calls)}", "", BUDGET_MS
        )
        calls.append(asyncio.ensure_future(call))
    answers = await asyncio.gather(*calls)
    n_lost = sum(1 for answer in answers if answer.status != 200)
    # A refusal that says that the request hasn't run is no loss.
    n_lost -= sum(1 for answer in answers if answer.status in (429, 503))
    site.record.write(f"{n_lost} of {len(answers)} requests were lost")
    return not n_lost


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, BOUNDS, run))
