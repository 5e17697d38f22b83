"""Introduction of this daemon to others whose addresses are stored."""

from collections.abc import Iterable

from umberdrum import gossip, settings


async def introduce_to_unknown(
    addresses: Iterable[str], state: gossip.SharedState, exchange: gossip.GossipExchange
) -> None:
    """Introduce this daemon to those at ``addresses`` that it does not know to be live.

    Texts that are no addresses are skipped: another program may have written them.
    """
    table = state.table
    for text in addresses:
        try:
            address = settings.parse_address(text)
        except ValueError:
            continue
        held = table.get(str(address))
        if held is None or not held.is_live:
            await exchange.introduce(address)
