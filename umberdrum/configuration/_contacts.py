"""Contacts: the few daemons of each availability zone that talk to the store."""

import math
import random
from typing import NamedTuple

import trio

from umberdrum import gossip, logs, membership, settings, store
from umberdrum.configuration import (
    _claim_delay,
    _introduction,
    _member_list,
    _watcher,
)

LEASE_SECONDS = 10
# A contact that loses the store is found out in this time and one call's timeout of
# 2 s, so that another one has taken over within the users' 7 s for such a change.
KEEP_ALIVE_SECONDS = 2.0
CLAIM_CHECK_SECONDS = 0.5
# Of daemons that start together the slowest loads its program 1 s later than the first.
INTRODUCE_SECONDS = 3.0
INTRODUCE_INTERVAL_SECONDS = 0.2
# Some 4 KB of datagrams.
MAX_PUSHES = 16
# A claim that has just been made is known to the zone in this time.
RESIGNED_CHECK_SECONDS = 0.8
# Until then a daemon that has just started knows too few zones to count them.
SETTLE_SECONDS = 5.0
MIN_LIST_INTERVAL_SECONDS = 1.0
LIST_INTERVAL_GROWTH = 4.0
MAX_LIST_INTERVAL_SECONDS = 30.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0
MAX_LOAD_BACKOFF_SECONDS = 2.0
# A daemon that knows nobody serves nothing; it is to serve again within 5 s.
MAX_JOIN_BACKOFF_SECONDS = 2.0
# While the store is away from all, every daemon finds too few contacts.
MIN_CLAIM_BACKOFF_SECONDS = 2.0


class ContactKeys(NamedTuple):
    """Names of the contact keys of one availability zone, and how many are wanted.

    A zone has ``n_per_zone`` contacts, more if there are so few zones that the cluster
    would have fewer than ``min_contacts``.
    """

    prefix: str
    availability_zone: str
    n_per_zone: int
    min_contacts: int

    @property
    def members_prefix(self) -> str:
        """Prefix of the keys that list the daemons of each zone."""
        return f"{self.prefix}/members/"

    @property
    def all_zones_prefix(self) -> str:
        """Prefix of the contact keys of all zones."""
        return f"{self.prefix}/contacts/"

    @property
    def zone_prefix(self) -> str:
        """Prefix of the contact keys of the own zone."""
        return f"{self.all_zones_prefix}{self.availability_zone}/"

    def get_key(self, index: int) -> str:
        """Return the key of one place."""
        return f"{self.zone_prefix}{index}"


class ContactManager:
    """Makes this daemon a contact when its zone has too few, and keeps it one.

    A contact holds a key under a lease, watches the configuration and lists the other
    contacts now and then, which joins parts of the cluster that lost each other. Two
    holders at once cost a few calls and harm nothing, so nothing is fenced. Daemons
    that are no contacts call the store only to join and to claim a free key.

    A contact that the store turns away says so in its record and keeps its key; another
    daemon of the zone then takes a further one. Contacts beyond those wanted resign,
    those with the highest keys first.
    """

    def __init__(
        self,
        target_store: store.Store,
        keys: ContactKeys,
        state: gossip.SharedState,
        exchange: gossip.GossipExchange,
        watcher: _watcher.ConfigurationWatcher,
        seeds: tuple[settings.Address, ...],
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        self._store = target_store
        self._keys = keys
        self._state = state
        self._exchange = exchange
        self._watcher = watcher
        self._seeds = seeds
        self._rng = rng
        self._log = log
        self._member_list = _member_list.MemberList(
            target_store,
            keys.members_prefix,
            keys.availability_zone,
            state,
            exchange,
            rng,
            log,
        )
        self._lease_id = 0
        self._key_index = 0
        self._started_at = 0.0
        self._claim_delay = _claim_delay.ClaimDelay(rng)
        # Holders of keys when this daemon joined, of the own zone and of all.
        self._first_holders: frozenset[str] = frozenset()
        self._all_first_holders: frozenset[str] = frozenset()
        self.has_joined = False

    async def run(self) -> None:
        """Join the cluster, then be a contact whenever the zone needs one."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load_first_documents)
            await self._join()
            nursery.start_soon(self._introduce_again)
            await self._serve_as_needed()

    async def _load_first_documents(self) -> None:
        """Read the documents from the store, unless gossip brings them sooner.

        After a restart of all daemons nobody has them, and the contact keys are held by
        processes that are gone.
        """
        backoff = MIN_BACKOFF_SECONDS
        while not self._state.catalog.revision:
            if await self._watcher.load_once():
                return
            await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
            backoff = min(MAX_LOAD_BACKOFF_SECONDS, backoff * 2)

    async def _serve_as_needed(self) -> None:
        """Be a contact whenever the zone needs one, for ever."""
        backoff = MIN_CLAIM_BACKOFF_SECONDS
        while True:
            await self._wait_until_needed()
            if not await self._claim():
                await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
                continue
            backoff = MIN_CLAIM_BACKOFF_SECONDS
            try:
                await self._be_contact()
            finally:
                self._change_contact(False)

    async def resign(self) -> None:
        """Give up the contact key, for a daemon that stops."""
        if not self._lease_id:
            return
        lease_id = self._lease_id
        self._lease_id = 0
        await self._store.revoke_lease(lease_id)

    async def _join(self) -> None:
        """Introduce this daemon to contacts and seeds, until one of them answers."""
        backoff = MIN_BACKOFF_SECONDS
        while not self.has_joined:
            await _introduction.introduce_to_unknown(
                map(str, self._seeds), self._state, self._exchange
            )
            if await self._meet_contacts(may_be_stale=True):
                self.has_joined = True
                return
            await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
            backoff = min(MAX_JOIN_BACKOFF_SECONDS, backoff * 2)
            # Others may have found this daemon meanwhile.
            self.has_joined = self._count_members() > 1

    async def _meet_contacts(self, may_be_stale: bool = False) -> bool:
        """Introduce this daemon to contacts that it does not know."""
        prefix = self._keys.all_zones_prefix
        listed = await self._store.list_prefix(prefix, may_be_stale)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return False
        zone_prefix = self._keys.zone_prefix
        zone = [row for row in listed.ok.items if row.key.startswith(zone_prefix)]
        if not self.has_joined:
            self._first_holders = frozenset(map(_get_holder, zone))
            self._all_first_holders = frozenset(map(_get_holder, listed.ok.items))
        await self._introduce_to_holders(listed.ok.items)
        return True

    async def _introduce_again(self) -> None:
        """Repeat for a while the introduction to contacts that have not answered.

        Load pattern: all daemons start at once after a loss of power. The first of them
        finds nobody at the addresses in the store, and nobody would look for it.
        """
        with trio.move_on_after(INTRODUCE_SECONDS):
            while True:
                await trio.sleep(INTRODUCE_INTERVAL_SECONDS)
                await _introduction.introduce_to_unknown(
                    sorted(self._all_first_holders), self._state, self._exchange
                )

    async def _introduce_to_holders(self, items: tuple[store.KeyValue, ...]) -> None:
        await _introduction.introduce_to_unknown(
            map(_get_holder, items), self._state, self._exchange
        )

    async def _wait_until_needed(self) -> None:
        """Return once the zone has had too few contacts for a random while."""
        while True:
            while self._count_contacts() >= self._get_wanted():
                await trio.sleep(CLAIM_CHECK_SECONDS)
            is_holder = self._state.table.own.endpoint_id in self._first_holders
            delay = self._claim_delay.draw(
                self._count_zone_members(), is_holder, bool(self._first_holders)
            )
            await trio.sleep(delay)
            if self._count_contacts() < self._get_wanted():
                return

    def _is_settled(self) -> bool:
        """Return whether this daemon has had time to learn of the others."""
        return trio.current_time() - self._started_at >= SETTLE_SECONDS

    def _get_wanted(self) -> int:
        """Return how many contacts the own zone should have."""
        n_per_zone = self._keys.n_per_zone
        if not self._is_settled():
            return n_per_zone
        records = self._state.table.records
        zones = {row.availability_zone for row in records if row.is_live}
        # The record of a daemon that leaves is no longer live.
        n_zones = max(1, len(zones))
        return max(n_per_zone, math.ceil(self._keys.min_contacts / n_zones))

    async def _claim(self) -> bool:
        """Take a free contact key; False when there is none or the store fails."""
        listed = await self._store.list_prefix(self._keys.zone_prefix)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return False
        await self._introduce_to_holders(listed.ok.items)
        taken = {item.key: item for item in listed.ok.items}
        own_address = self._state.table.own.endpoint_id.encode()
        n_wanted = self._get_wanted()
        n_resigned = 0
        index = 0
        while index < n_wanted + n_resigned:
            key = self._keys.get_key(index)
            held = taken.get(key)
            if held is not None and held.value != own_address:
                # A holder that has lost the store leaves room for one more.
                n_resigned += self._has_resigned(held)
                index += 1
                continue
            if index >= n_wanted and not await self._is_still_needed():
                return False
            # A key with the own address was left by an earlier process.
            revision = held.mod_revision if held is not None else 0
            return await self._take_key(index, revision)
        return False

    async def _is_still_needed(self) -> bool:
        """Return whether the zone lacks contacts after a moment too.

        The record of a holder that has claimed its key just now may not have come yet.
        """
        await trio.sleep(RESIGNED_CHECK_SECONDS)
        return self._count_contacts() < self._get_wanted()

    def _has_resigned(self, held: store.KeyValue) -> bool:
        """Return whether the holder of a key is known and says it is no contact now.

        A daemon that has just started may not know yet that it is one again.
        """
        if not self._is_settled():
            return False
        record = self._state.table.get(_get_holder(held))
        return record is not None and record.is_live and not record.is_contact

    async def _take_key(self, index: int, revision: int) -> bool:
        """Write a contact key under a new lease, if it is still at ``revision``."""
        key = self._keys.get_key(index)
        own_address = self._state.table.own.endpoint_id.encode()
        granted = await self._store.grant_lease(LEASE_SECONDS)
        if granted.is_error():
            return False
        lease_id = granted.ok.lease_id
        swapped = await self._store.compare_and_swap(
            key, revision, own_address, lease_id
        )
        if swapped.is_ok() and swapped.ok.is_applied:
            self._lease_id = lease_id
            self._key_index = index
            self._log.write("contact_claimed", key=key)
            return True
        await self._store.revoke_lease(lease_id)
        return False

    async def _be_contact(self) -> None:
        """Keep the lease and follow the configuration until the lease has lapsed."""
        self._change_contact(True)
        # Most of the zone hears of it at once, so that few other daemons claim too.
        n_peers = min(MAX_PUSHES, self._count_zone_members())
        await self._exchange.push_updates(n_peers)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(self._list_forever)
            await self._keep_lease()
            nursery.cancel_scope.cancel()
        self._log.write("contact_lost")

    async def _keep_lease(self) -> None:
        """Return once the lease has lapsed or been given up.

        While the store does not answer, this daemon keeps asking for its lease, but its
        record says that it is no contact: another one may have a way to the store.
        """
        while self._lease_id:
            await trio.sleep(KEEP_ALIVE_SECONDS * self._rng.uniform(0.8, 1.2))
            if self._is_surplus():
                self._log.write("contact_resigned", n_contacts=self._count_contacts())
                await self.resign()
                return
            kept = await self._store.keep_alive(self._lease_id)
            if kept.is_error():
                self._change_contact(False)
                continue
            if kept.ok.ttl_seconds <= 0:
                self._lease_id = 0
                return
            self._change_contact(True)

    def _is_surplus(self) -> bool:
        """Return whether the zone has enough contacts with lower keys."""
        n_wanted = self._get_wanted()
        return self._key_index >= n_wanted and self._count_contacts() > n_wanted

    async def _list_forever(self) -> None:
        """List the contacts, often at first and then at long intervals.

        The first list follows the claim, so that of two contacts that claimed at the
        same moment at least one finds the other; later ones may be stale. The list of
        all daemons is looked at a little later, when those that start together with
        this one have met it.
        """
        interval = MIN_LIST_INTERVAL_SECONDS
        await self._meet_contacts()
        while True:
            await trio.sleep(interval * self._rng.uniform(0.5, 1.5))
            is_settled = interval >= MAX_LIST_INTERVAL_SECONDS
            interval = min(MAX_LIST_INTERVAL_SECONDS, interval * LIST_INTERVAL_GROWTH)
            await self._member_list.refresh(may_prune=is_settled)
            await self._meet_contacts(may_be_stale=True)

    def _change_contact(self, is_contact: bool) -> None:
        now = trio.current_time()
        if self._state.table.own.is_contact == is_contact:
            return
        record = self._state.table.update_own_record(now, is_contact=is_contact)
        self._state.publish_own_record(record)

    def _list_zone(self) -> list[membership.EndpointRecord]:
        zone = self._keys.availability_zone
        records = self._state.table.records
        return [r for r in records if r.availability_zone == zone and r.is_live]

    def _count_contacts(self) -> int:
        return sum(1 for record in self._list_zone() if record.is_contact)

    def _count_zone_members(self) -> int:
        return len(self._list_zone())

    def _count_members(self) -> int:
        return len(self._state.table)


def _get_holder(item: store.KeyValue) -> str:
    """Return the address of the daemon that holds a contact key."""
    return item.value.decode("utf-8", "replace")
