"""Contacts: the few daemons of each availability zone that talk to the store."""

import random
from typing import NamedTuple

import trio

from umberdrum import gossip, logs, membership, settings, store
from umberdrum.configuration import _watcher

LEASE_SECONDS = 10
KEEP_ALIVE_SECONDS = 3.0
MAX_KEEP_ALIVE_SECONDS = 10.0
CLAIM_CHECK_SECONDS = 1.0
CLAIM_SPREAD_PER_MEMBER_SECONDS = 0.1
MAX_CLAIM_SPREAD_SECONDS = 10.0
MIN_LIST_INTERVAL_SECONDS = 1.0
MAX_LIST_INTERVAL_SECONDS = 30.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0
MAX_LOAD_BACKOFF_SECONDS = 2.0


class ContactKeys(NamedTuple):
    """Names of the contact keys of one availability zone."""

    prefix: str
    availability_zone: str
    n_contacts: int

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


class ContactKeeper:
    """Makes this daemon a contact when its zone has too few, and keeps it one.

    A contact holds a key under a lease, watches the configuration and lists the other
    contacts now and then, which joins parts of the cluster that lost each other. Two
    holders at once cost a few calls and harm nothing, so nothing is fenced. Daemons
    that are no contacts call the store only to join and to claim a free key.
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
        self._lease_id = 0
        self.has_joined = False

    async def run(self) -> None:
        """Join the cluster, then be a contact whenever the zone needs one."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load_first_documents)
            await self._join()
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
        backoff = MIN_BACKOFF_SECONDS
        while True:
            await self._wait_until_needed()
            if not await self._claim():
                await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
                continue
            backoff = MIN_BACKOFF_SECONDS
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
        while True:
            for address in self._seeds:
                await self._introduce(address)
            is_listed = await self._meet_contacts()
            self.has_joined = is_listed or self._count_members() > 1
            if self.has_joined:
                return
            await trio.sleep(backoff * self._rng.uniform(0.5, 1.5))
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    async def _meet_contacts(self) -> bool:
        """Introduce this daemon to contacts that it does not know."""
        listed = await self._store.list_prefix(self._keys.all_zones_prefix)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return False
        await self._introduce_to_holders(listed.ok.items)
        return True

    async def _introduce_to_holders(self, items: tuple[store.KeyValue, ...]) -> None:
        for item in items:
            try:
                address = settings.parse_address(item.value.decode("utf-8", "replace"))
            except ValueError:
                continue
            held = self._state.table.get(str(address))
            if held is None or not held.is_live:
                await self._introduce(address)

    async def _introduce(self, address: settings.Address) -> None:
        if str(address) != self._state.table.own.endpoint_id:
            await self._exchange.introduce(address)

    async def _wait_until_needed(self) -> None:
        """Return once the zone has had too few contacts for a random while."""
        while True:
            while self._count_contacts() >= self._keys.n_contacts:
                await trio.sleep(CLAIM_CHECK_SECONDS)
            spread = CLAIM_SPREAD_PER_MEMBER_SECONDS * self._count_zone_members()
            spread = min(MAX_CLAIM_SPREAD_SECONDS, spread)
            await trio.sleep(self._rng.uniform(0.0, spread))
            if self._count_contacts() < self._keys.n_contacts:
                return

    async def _claim(self) -> bool:
        """Take a free contact key; False when there is none or the store fails."""
        listed = await self._store.list_prefix(self._keys.zone_prefix)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return False
        await self._introduce_to_holders(listed.ok.items)
        taken = {item.key: item for item in listed.ok.items}
        own_address = self._state.table.own.endpoint_id.encode()
        for index in range(self._keys.n_contacts):
            key = self._keys.get_key(index)
            held = taken.get(key)
            if held is not None and held.value != own_address:
                continue
            # A key with the own address was left by an earlier process.
            revision = held.mod_revision if held is not None else 0
            granted = await self._store.grant_lease(LEASE_SECONDS)
            if granted.is_error():
                return False
            lease_id = granted.ok.lease_id
            swapped = await self._store.swap(key, revision, own_address, lease_id)
            if swapped.is_ok() and swapped.ok.is_applied:
                self._lease_id = lease_id
                self._log.write("contact_claimed", key=key)
                return True
            await self._store.revoke_lease(lease_id)
        return False

    async def _be_contact(self) -> None:
        """Keep the lease and follow the configuration until the lease has lapsed."""
        self._change_contact(True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(self._list_forever)
            await self._keep_lease()
            nursery.cancel_scope.cancel()
        self._log.write("contact_lost")

    async def _keep_lease(self) -> None:
        """Return once the store says that the lease has lapsed.

        While the store does not answer, this daemon goes on as a contact, so that no
        other daemon starts to ask the store in its place.
        """
        pause = KEEP_ALIVE_SECONDS
        while self._lease_id:
            await trio.sleep(pause * self._rng.uniform(0.8, 1.2))
            kept = await self._store.keep_alive(self._lease_id)
            if kept.is_error():
                pause = min(MAX_KEEP_ALIVE_SECONDS, pause * 2)
                continue
            pause = KEEP_ALIVE_SECONDS
            if kept.ok.ttl_seconds <= 0:
                self._lease_id = 0

    async def _list_forever(self) -> None:
        """List the contacts, often at first and then at long intervals.

        The list follows the claim, so that of two contacts that claimed at the same
        moment at least one finds the other.
        """
        interval = MIN_LIST_INTERVAL_SECONDS
        while True:
            await self._meet_contacts()
            await trio.sleep(interval * self._rng.uniform(0.5, 1.5))
            interval = min(MAX_LIST_INTERVAL_SECONDS, interval * 2)

    def _change_contact(self, is_contact: bool) -> None:
        now = trio.current_time()
        if self._state.table.own.is_contact == is_contact:
            return
        record = self._state.table.change_own(now, is_contact=is_contact)
        self._state.publish_own(record)

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
