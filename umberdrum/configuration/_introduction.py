"""Introduction of this daemon to others whose addresses come from the store."""

from collections.abc import Iterable

from umberdrum import gossip, settings


async def introduce_to_unknown(
    addresses: Iterable[str], state: gossip.SharedState, exchange: gossip.GossipExchange
) -> None:
    """Introduce this daemon to each of ``addresses`` without a live membership record.

    Texts that are no addresses of daemons are skipped: another program may have written
    them.
    """
    table = state.table
    for text in addresses:
        try:
            address = settings.parse_address(text)
        except ValueError:
            continue
        if not address.is_reachable:
            continue
        record = table.get(str(address))
        if record is None or not record.is_live:
            await exchange.introduce(address)
