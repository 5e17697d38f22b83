"""Addresses of all daemons, kept in the store for times when they forget each other."""

import random

from umberdrum import gossip, logs, store
from umberdrum.configuration import _introduction

# A contact introduces itself to so many listed daemons at a time, which keeps its
# datagrams within a few KB.
MAX_INTRODUCTIONS = 32
# A list that names more addresses than this multiple of the live ones is written anew
# without those that are gone.
MAX_STALE_FACTOR = 2


class MemberList:
    """Addresses of the daemons of each availability zone, one key a zone.

    Daemons keep nothing on their machines. When all of them end at once, one that the
    store turns away afterwards knows nobody, and nobody has its address but this list.
    A contact introduces itself to daemons that are listed and not known, of whatever
    zone, and adds those of its own zone that are missing.

    The list has no lease. An address that is out of date costs one datagram at a time.
    Two contacts that write at the same moment are told apart by compare-and-swap; the
    loser writes at its next turn.
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
        """Meet the daemons that are listed, then complete the list of the own zone.

        With ``may_prune`` addresses of daemons that are gone may be dropped. It must
        not be set soon after a start: then many live daemons are not known yet.
        """
        listed = await self._store.list_prefix(self._prefix, may_be_stale=True)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return
        addresses: list[str] = []
        own: store.KeyValue | None = None
        for item in listed.ok.items:
            addresses += _split(item)
            if item.key == self._own_key:
                own = item
        unknown = [row for row in addresses if not self._is_live(row)]
        chosen = self._rng.sample(unknown, min(len(unknown), MAX_INTRODUCTIONS))
        await _introduction.introduce_to_unknown(chosen, self._state, self._exchange)
        await self._complete(own, may_prune)

    async def _complete(self, held: store.KeyValue | None, may_prune: bool) -> None:
        """Write the list of the own zone if it lacks a daemon or is mostly stale."""
        listed = set(_split(held)) if held is not None else set[str]()
        live = self._list_live()
        is_stale = may_prune and len(listed) > MAX_STALE_FACTOR * len(live)
        if live <= listed and not is_stale:
            return
        wanted = live if is_stale else listed | live
        value = "\n".join(sorted(wanted)).encode()
        revision = held.mod_revision if held is not None else 0
        swapped = await self._store.compare_and_swap(self._own_key, revision, value)
        if swapped.is_error():
            self._log.warn("member_list_not_written", reason=swapped.error.detail)
            return
        self._log.write(
            "member_list_written",
            key=self._own_key,
            n_members=len(wanted),
            n_live=len(live),
            applied=swapped.ok.is_applied,
        )

    def _list_live(self) -> set[str]:
        found: set[str] = set()
        for record in self._state.table.records:
            if record.is_live and record.availability_zone == self._availability_zone:
                found.add(record.endpoint_id)
        return found

    def _is_live(self, endpoint_id: str) -> bool:
        record = self._state.table.get(endpoint_id)
        return record is not None and record.is_live


def _split(item: store.KeyValue) -> list[str]:
    return item.value.decode("utf-8", "replace").split()
