"""Payment endpoints and an entry daemon, the setup of most system scenarios."""

from umberdrum.tests import harness


async def start_payments(
    site: harness.Site, n_nodes: int = 2, n_slots: int = 4
) -> harness.Node:
    """Start payment endpoints behind link proxies; return an entry without upstream."""
    await site.create_class(
        "pay", "payments", "/pay", is_idempotent=False, target_ms=1500
    )
    await site.create_class("look", "payments", "/look", target_ms=400)
    for _ in range(n_nodes):
        await site.add_node("payments", n_slots=n_slots, has_link=True)
    entry = await site.add_node("")
    await site.wait_until_known(2)
    await wait_for_candidates(site, entry, n_nodes)
    return entry


async def wait_for_candidates(
    site: harness.Site, entry: harness.Node, n_candidates: int
) -> None:
    """Wait until the entry has exactly this many candidates for payments."""
    parts = entry.daemon.parts
    assert parts is not None
    directory = parts.directory
    await site.wait_until(
        lambda: len(directory.list_candidates("payments")) == n_candidates
    )
