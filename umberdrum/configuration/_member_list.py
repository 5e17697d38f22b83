"""Store keys with the addresses of all daemons, to reconnect separated daemons."""

import random

from umberdrum import gossip, logs, settings, store
from umberdrum.configuration import _introduction

# Keeps the datagrams of one refresh within a few KB.
MAX_INTRODUCTIONS_PER_REFRESH = 32
# A list with more addresses than this multiple of the live daemons is rewritten without
# the stale ones.
MAX_LISTED_PER_LIVE = 2


class MemberList:
    """Addresses of the daemons of each availability zone, one store key per zone.

    Daemons keep no state on their machines. If all of them end at once, a restarted
    daemon that cannot use the store knows no other daemon, and the others can find its
    address only in this list. A contact therefore introduces itself to listed daemons
    of any zone that it does not know, and adds missing daemons of its own zone to the
    list.

    The list has no lease. A stale address costs one datagram per attempt. If two
    contacts write concurrently, compare-and-swap rejects the second write; that contact
    tries again at its next refresh.
    """

    def __init__(
        self,
        target_store: store.Store,
        prefix: str,
        availability_zone: str,
        state: gossip.SharedState,
        exchange: gossip.GossipExchange,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        self._store = target_store
        self._prefix = prefix
        self._own_key = f"{prefix}{availability_zone}"
        self._availability_zone = availability_zone
        self._state = state
        self._exchange = exchange
        self._rng = rng
        self._log = log

    async def refresh(self, may_prune: bool) -> None:
        """Introduce this daemon to listed daemons, then update the own zone's list.

        ``may_prune`` allows the removal of stale addresses. It must not be set soon
        after a start, when many live daemons are not known yet.
        """
        listed = await self._store.list_prefix(self._prefix, may_be_stale=True)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return
        addresses: list[str] = []
        own_item: store.KeyValue | None = None
        for item in listed.ok.items:
            addresses += _parse_addresses(item)
            if item.key == self._own_key:
                own_item = item
        unknown = [row for row in addresses if not self._is_live(row)]
        chosen = self._rng.sample(
            unknown, min(len(unknown), MAX_INTRODUCTIONS_PER_REFRESH)
        )
        await _introduction.introduce_to_unknown(chosen, self._state, self._exchange)
        await self._update_own_zone(own_item, may_prune)

    async def _update_own_zone(
        self, current: store.KeyValue | None, may_prune: bool
    ) -> None:
        """Write the own zone's list if it lacks a live daemon or is mostly stale."""
        listed = set(_parse_addresses(current)) if current is not None else set[str]()
        live = self._list_live_zone_members()
        is_stale = may_prune and len(listed) > MAX_LISTED_PER_LIVE * len(live)
        if live <= listed and not is_stale:
            return
        addresses = live if is_stale else listed | live
        value = "\n".join(sorted(addresses)).encode()
        revision = current.mod_revision if current is not None else 0
        read_era = current.era if current is not None else 0
        swapped = await self._store.compare_and_swap(
            self._own_key, revision, value, read_era=read_era
        )
        if swapped.is_error():
            self._log.warn("member_list_not_written", reason=swapped.error.detail)
            return
        self._log.write(
            "member_list_written",
            key=self._own_key,
            n_members=len(addresses),
            n_live=len(live),
            applied=swapped.ok.is_applied,
        )

    def _list_live_zone_members(self) -> set[str]:
        live: set[str] = set()
        for record in self._state.table.records:
            if record.is_live and record.availability_zone == self._availability_zone:
                live.add(record.endpoint_id)
        return live

    def _is_live(self, endpoint_id: str) -> bool:
        record = self._state.table.get(endpoint_id)
        return record is not None and record.is_live


def _parse_addresses(item: store.KeyValue) -> list[str]:
    """Return the addresses in a list; other texts, and repeated ones, are left out."""
    addresses: dict[str, None] = {}
    for text in item.value.decode("utf-8", "replace").split():
        try:
            address = settings.parse_address(text)
        except ValueError:
            continue
        if address.is_reachable:
            addresses[str(address)] = None
    return list(addresses)
