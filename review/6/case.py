"""Lets an endpoint's front answer 503 for payments that the endpoint has begun."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment_2  # noqa: E402

ROUTES = [("pay", "non_idempotent", "/pay/", "pay")]
FAILED_SHARE = 0.4
# One endpoint of seven fails, a share within .15.
ZONES = tuple(f"zone-{name}" for name in "abcabca")
N_ROUNDS = 200
N_AT_ONCE = 3
RETRY_SECONDS = 0.05
PROMISES = (408, 421, 429, 503)


def fail_some(endpoint, rng):
    """Let part of the requests fail after their work has begun.

    The answer comes from the software in front of the application: it bears neither the
    application's stamp nor ``X-Not-Run``.
    """
    respond_soundly = endpoint.respond

    async def respond(message, rows, writer):
        if rng.random() >= FAILED_SHARE:
            return await respond_soundly(message, rows, writer)
        await asyncio.sleep(endpoint.work_seconds)
        rows = [("x-request-id", message.fields["x-request-id"])]
        body = b"upstream connect error"
        writer.write(
            deployment_2.render("HTTP/1.1 503 Service Unavailable", rows, body)
        )
        await writer.drain()
        return True

    endpoint.respond = respond


async def pay(site, machine, order, answers):
    """Send one order as the pages' clients do: once more after a promise."""
    for _ in range(2):
        request_id, reply = await site.call(
            machine, f"/pay/{order}", "POST", body=order.encode()
        )
        status = reply.status if reply is not None else None
        answers[request_id] = status
        if status not in PROMISES:
            return
        await asyncio.sleep(RETRY_SECONDS)


async def run(site, has_trouble):
    """Return one line for each payment that ran and was answered as not run."""
    for zone in ZONES:
        site.add_machine(zone, "pay")
    site.publish(deployment_2.build_config(1, ROUTES, ["pay"]))
    await site.start()
    await site.wait_ready()
    # All machines are in touch by then.
    await asyncio.sleep(4.0)
    if has_trouble:
        fail_some(site.machines[0].endpoint, random.Random(1))
    answers = {}
    for index in range(N_ROUNDS):
        orders = [
            pay(site, machine, f"order-{machine.index}-{index}-{part}", answers)
            for machine in site.machines
            for part in range(N_AT_ONCE)
        ]
        await asyncio.gather(*orders)
        await asyncio.sleep(0.05)
    runs_by_order = {}
    for row in site.list_runs():
        runs_by_order.setdefault(row["target"], []).append(row)
    breaches = []
    for target, rows in runs_by_order.items():
        for row in rows:
            if answers.get(row["id"]) in PROMISES:
                breaches.append(
                    f"REFUSED: request {row['id']} for {target} has run at "
                    f"{row['endpoint']} and was answered {answers[row['id']]}; the "
                    f"order ran {len(rows)} times in all"
                )
    return breaches


if __name__ == "__main__":
    deployment_2.run_case(run, FOLDER)
