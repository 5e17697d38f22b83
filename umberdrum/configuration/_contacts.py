"""Contacts: the few daemons of each availability zone that follow the store."""

import math
import random
from typing import NamedTuple

import trio

from umberdrum import gossip, logs, membership, settings, store
from umberdrum.configuration import (
    _claim_delay,
    _contact_watch,
    _introduction,
    _member_list,
    _overdue_reads,
    _retry_pause,
    _watch_guard,
    _watcher,
)

LEASE_TTL_SECONDS = 10
# A contact detects the loss of the store within this interval plus one call timeout of
# 2 s, so that another daemon can take over within the 7 s that users require. A renewal
# also shows that connections are silent. A change has to be in force within some time,
# of which this is a share, and other daemons read it if no contact has been answered
# for about half of that.
KEEP_ALIVE_INTERVAL_SHARE = 0.25
# While the store does not answer.
MAX_RETRY_INTERVAL_SECONDS = 2.0
MIN_KEEP_ALIVE_INTERVAL_SHARE = 0.8
MIN_RENEWAL_PAUSE_SECONDS = 0.05
CONTACT_CHECK_INTERVAL_SECONDS = 0.5
# When daemons start together, the slowest has loaded its program 1 s after the first.
INTRODUCTION_PERIOD_SECONDS = 3.0
INTRODUCTION_INTERVAL_SECONDS = 0.2
# Bounds the datagrams of one push to about 4 KB.
MAX_PUSH_PEERS = 16
# A new claim is known to the zone within this time.
CLAIM_RECHECK_DELAY_SECONDS = 0.8
# A daemon that started more recently may not know all zones yet.
ZONE_DISCOVERY_SECONDS = 5.0
# A daemon that started more recently reads the documents anyway, and may not know the
# contacts yet.
CONTACT_WATCH_START_SECONDS = 1.5
# Spreads the claims of all contacts after a restore of the store.
RECLAIM_JITTER_SECONDS = 0.3
# Peers answer an introduction within a round trip; this allows for another region.
PEER_ANSWER_SECONDS = 0.15
PEER_POLL_SECONDS = 0.01
MIN_LIST_INTERVAL_SECONDS = 1.0
LIST_INTERVAL_GROWTH = 4.0
MAX_LIST_INTERVAL_SECONDS = 30.0
MS_PER_SECOND = 1000.0
OVERDUE_CHECK_INTERVAL_SECONDS = 0.3
OVERDUE_JITTER_SECONDS = 0.3
# Users require a daemon to follow the store again 3 s after the store recovers. Every
# daemon that starts meanwhile reads the store.
MAX_START_RETRY_PERIOD_SECONDS = 1.75


def build_members_prefix(store_prefix: str) -> str:
    """Return the prefix of the keys that list the daemons of each zone."""
    return f"{store_prefix}/members/"


class ContactKeys(NamedTuple):
    """Names of the contact keys of one availability zone, and the number of contacts.

    A zone should have ``n_per_zone`` contacts, or more if the cluster has so few zones
    that it would otherwise have fewer than ``min_contacts`` in total.
    """

    prefix: str
    availability_zone: str
    n_per_zone: int
    min_contacts: int

    @property
    def members_prefix(self) -> str:
        """Prefix of the keys that list the daemons of each zone."""
        return build_members_prefix(self.prefix)

    @property
    def all_zones_prefix(self) -> str:
        """Prefix of the contact keys of all zones."""
        return f"{self.prefix}/contacts/"

    @property
    def zone_prefix(self) -> str:
        """Prefix of the contact keys of the own zone."""
        return f"{self.all_zones_prefix}{self.availability_zone}/"

    def get_key(self, index: int) -> str:
        """Return the contact key with this index; indexes start at 0."""
        return f"{self.zone_prefix}{index}"


class _ZoneView(NamedTuple):
    """Contacts of a zone and number of its other daemons, as of a table's generation.

    The table is large and seldom changes, so that the view is kept.
    """

    generation: int
    contacts: tuple[str, ...]
    n_readers: int


class ContactManager:
    """Makes this daemon a contact when its zone has too few, and keeps the role.

    A contact is a daemon that holds a contact key under a lease and watches the
    configuration in the store. It also lists the other contacts periodically, which
    reconnects partitions of the cluster. Two simultaneous holders cost a few extra
    store calls and are harmless, so there is no fencing. Daemons that are not contacts
    call the store only to join, to claim a free key, and to read documents: one that
    they know of and that no peer delivers, or all while no contact follows the store.

    A contact that cannot renew its lease clears ``is_contact`` in its membership record
    but keeps its key; another daemon of the zone then claims an additional key.
    If a zone has more contacts than wanted, those with the highest keys resign first.

    A daemon that leaves gives up its key at once, so that another daemon claims it
    while this one still serves calls. It never claims again. A contact that leaves
    follows the documents until it ends, because its successor may need a moment.

    When the store is restored from an older copy, its leases end. The contacts then
    claim their keys again, compare the member lists and read the documents again. Other
    daemons make no store call for it.
    """

    def __init__(
        self,
        target_store: store.Store,
        counter: store.StoreCallCounter,
        keys: ContactKeys,
        state: gossip.SharedState,
        exchange: gossip.GossipExchange,
        watcher: _watcher.ConfigurationWatcher,
        seeds: tuple[settings.Address, ...],
        rng: random.Random,
        log: logs.EventLog,
        spread_seconds: float = _contact_watch.DEFAULT_SPREAD_SECONDS,
    ) -> None:
        self._spread_seconds = spread_seconds
        self._store = target_store
        self._counter = counter
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
        self._is_reclaim_due = False
        self._is_listing_due = False
        self._new_era = trio.Event()
        self._leaving = trio.Event()
        # Held while a lease is granted, bound to a key or revoked.
        self._lease_lock = trio.Lock()
        self._started_at = 0.0
        self._retry_at = -math.inf
        exchange.get_store_age = self._get_store_age
        self._claim_delay = _claim_delay.ClaimDelay(rng)
        # Key holders when this daemon joined: of the own zone, and of all zones.
        self._initial_zone_holders: frozenset[str] = frozenset()
        self._initial_holders: frozenset[str] = frozenset()
        self.has_joined = False

    async def run(self) -> None:
        """Join the cluster, then act as a contact whenever the zone needs one."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load_initial_documents)
            nursery.start_soon(self._resign_on_leaving)
            nursery.start_soon(self._read_overdue_documents)
            nursery.start_soon(self._read_while_contacts_are_silent)
            await self._join()
            nursery.start_soon(self._repeat_introductions)
            await self._act_as_contact_when_needed()

    async def _load_initial_documents(self) -> None:
        """Read the documents from the store unless gossip delivers them first.

        After a restart of all daemons no daemon has the documents, and the contact keys
        still belong to processes that have ended.
        """
        retry_pause = self._build_start_pause()
        while not self._state.catalog.revision:
            began_at = trio.current_time()
            listed = await self._watcher.read_documents()
            if listed is not None:
                if listed.era:
                    await self._wait_for_peer_documents()
                self._state.merge_entries(listed.entries)
                return
            seconds = trio.current_time() - began_at
            await trio.sleep(retry_pause.draw_seconds(seconds))

    def _build_start_pause(self) -> _retry_pause.RetryPause:
        return _retry_pause.RetryPause(self._rng, MAX_START_RETRY_PERIOD_SECONDS)

    async def _read_overdue_documents(self) -> None:
        """Read the documents from the store when no peer delivers a newer one."""
        reads = _overdue_reads.OverdueReads(self._rng)
        while True:
            await trio.sleep(OVERDUE_CHECK_INTERVAL_SECONDS)
            outdated_seconds = self._exchange.get_outdated_seconds()
            if not reads.take_read(outdated_seconds, trio.current_time()):
                continue
            # A daemon that reads earlier may deliver the documents to this one.
            await trio.sleep(self._rng.uniform(0.0, OVERDUE_JITTER_SECONDS))
            if not self._exchange.expects_documents():
                continue
            listed = await self._watcher.read_documents()
            if listed is not None:
                self._state.merge_entries(listed.entries)
            self._log.write(
                "overdue_documents_read",
                waited_ms=outdated_seconds * MS_PER_SECOND,
                is_current=not self._exchange.expects_documents(),
            )

    async def _read_while_contacts_are_silent(self) -> None:
        """Read the documents in place of contacts that do not follow the store."""
        watch = _contact_watch.ContactWatch(self._rng, self._spread_seconds)
        view = self._build_zone_view()
        while True:
            await trio.sleep(_contact_watch.CHECK_INTERVAL_SECONDS)
            if self._watcher.is_running:
                continue
            if trio.current_time() - self._started_at < CONTACT_WATCH_START_SECONDS:
                continue
            if view.generation != self._state.table.generation:
                view = self._build_zone_view()
            signs = {
                contact: self._exchange.get_contact_sign(contact)
                for contact in view.contacts
            }
            now = trio.current_time()
            for contact in watch.take_probes(signs, view.n_readers, now):
                await self._exchange.probe(contact)
            if now < self._retry_at:
                continue
            if watch.take_read(signs, view.n_readers, now):
                await self._read_in_place_of_contacts(len(signs))

    async def _read_in_place_of_contacts(self, n_contacts: int) -> None:
        digest = self._state.catalog.digest
        listed = await self._watcher.read_documents()
        if listed is None:
            self._postpone_store_calls()
        else:
            self._state.merge_entries(listed.entries)
        has_changed = self._state.catalog.digest != digest
        self._log.write(
            "contacts_silent",
            n_contacts=n_contacts,
            is_answered=listed is not None,
            has_changed=has_changed,
        )
        if has_changed:
            await self._push_to_zone()

    def _postpone_store_calls(self) -> None:
        """Set when this daemon may claim a key or read in place of contacts again."""
        seconds = self._claim_delay.draw_retry_seconds(self._count_zone_members())
        self._retry_at = trio.current_time() + seconds

    def _build_zone_view(self) -> _ZoneView:
        """Return the contacts of the zone and the number of its other daemons.

        Suspected contacts are included: until they are replaced nobody else reads.
        """
        own_zone = self._state.table.own.availability_zone
        contacts: list[str] = []
        n_readers = 0
        for record in self._state.table.records:
            if record.availability_zone != own_zone or record.is_final:
                continue
            if record.is_contact:
                contacts.append(record.endpoint_id)
            elif record.is_live:
                n_readers += 1
        return _ZoneView(self._state.table.generation, tuple(contacts), n_readers)

    def _get_store_age(self) -> float | None:
        """Return the seconds since the store has answered this contact."""
        if not self._watcher.is_running:
            return None
        return trio.current_time() - self._get_answered_at()

    def _get_answered_at(self) -> float:
        """Return when the store has last answered any call, minus infinity if never."""
        answered_at = self._counter.last_answer_at
        return -math.inf if answered_at is None else answered_at

    async def _wait_for_peer_documents(self) -> None:
        """Wait shortly for newer documents of peers.

        The store may have been restored from an older copy, and this daemon has just
        started and does not know of it. A peer that answers states what it has.
        """
        with trio.move_on_after(PEER_ANSWER_SECONDS):
            while self._exchange.last_received_at is None:
                await trio.sleep(PEER_POLL_SECONDS)
        with trio.move_on_after(PEER_ANSWER_SECONDS):
            while self._exchange.expects_documents():
                await trio.sleep(PEER_POLL_SECONDS)

    def handle_new_era(self) -> None:
        """Give up the lease and put back what the restored store has forgotten.

        It is called at the first answer of the store that shows the new era. The lease
        id may already belong to another daemon, so it must not be used again.
        """
        if self._lease_id:
            self._lease_id = 0
            self._is_reclaim_due = True
        self._is_listing_due = True
        self._new_era.set()
        self._new_era = trio.Event()
        self._watcher.restart()

    async def _act_as_contact_when_needed(self) -> None:
        """Act as a contact whenever the zone needs one, until cancelled."""
        while True:
            await trio.sleep_until(self._retry_at)
            await self._wait_until_contact_needed()
            if not await self._claim_key():
                self._postpone_store_calls()
                continue
            self._claim_delay.record_success()
            try:
                await self._act_as_contact()
            finally:
                self._publish_contact_flag(False)

    def leave(self) -> None:
        """Give up the contact key, if any, and claim none again; return at once."""
        self._publish_contact_flag(False)
        self._leaving.set()

    async def resign(self) -> None:
        """Revoke the lease of the contact key, if any, which deletes the key.

        A claim or another revocation in progress is awaited first.
        """
        async with self._lease_lock:
            if not self._lease_id:
                return
            lease_id = self._lease_id
            self._lease_id = 0
            await self._store.revoke_lease(lease_id)

    async def _resign_on_leaving(self) -> None:
        await self._leaving.wait()
        if self._lease_id:
            self._log.write("contact_resigned", n_contacts=self._count_contacts())
            # The zone's other daemons claim the key as soon as they know.
            await self._push_to_zone()
        await self.resign()

    async def _push_to_zone(self) -> None:
        await self._exchange.push_updates(
            min(MAX_PUSH_PEERS, self._count_zone_members())
        )

    async def _join(self) -> None:
        """Introduce this daemon to seeds and contacts until the store could be read.

        It also ends when another daemon has found this one.
        """
        retry_pause = self._build_start_pause()
        while not self.has_joined:
            began_at = trio.current_time()
            await _introduction.introduce_to_unknown(
                map(str, self._seeds), self._state, self._exchange
            )
            if await self._introduce_to_contacts(may_be_stale=True):
                self.has_joined = True
                return
            seconds = trio.current_time() - began_at
            await trio.sleep(retry_pause.draw_seconds(seconds))
            # Another daemon may have found this one in the meantime.
            self.has_joined = self._count_members() > 1

    async def _introduce_to_contacts(self, may_be_stale: bool = False) -> bool:
        """Introduce this daemon to contacts that it does not know.

        Return False if the store could not be read.
        """
        prefix = self._keys.all_zones_prefix
        listed = await self._store.list_prefix(prefix, may_be_stale)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return False
        zone_prefix = self._keys.zone_prefix
        zone = [row for row in listed.ok.items if row.key.startswith(zone_prefix)]
        if not self.has_joined:
            self._initial_zone_holders = frozenset(map(_decode_holder, zone))
            self._initial_holders = frozenset(map(_decode_holder, listed.ok.items))
        await self._introduce_to_holders(listed.ok.items)
        return True

    async def _repeat_introductions(self) -> None:
        """Repeat the introduction to contacts that do not answer, for a limited time.

        Load pattern: all daemons start at once after a power failure. The first one
        gets no answer from the addresses in the store, and no other daemon would
        contact it later.
        """
        with trio.move_on_after(INTRODUCTION_PERIOD_SECONDS):
            while True:
                await trio.sleep(INTRODUCTION_INTERVAL_SECONDS)
                await _introduction.introduce_to_unknown(
                    sorted(self._initial_holders), self._state, self._exchange
                )

    async def _introduce_to_holders(self, items: tuple[store.KeyValue, ...]) -> None:
        await _introduction.introduce_to_unknown(
            map(_decode_holder, items), self._state, self._exchange
        )

    async def _wait_until_contact_needed(self) -> None:
        """Return once the zone has too few contacts before and after a random delay.

        Never returns while this daemon leaves.
        """
        while True:
            if self._leaving.is_set():
                await trio.sleep_forever()
            while self._count_contacts() >= self._count_wanted_contacts():
                await trio.sleep(CONTACT_CHECK_INTERVAL_SECONDS)
            was_holder = self._state.table.own.endpoint_id in self._initial_zone_holders
            delay = self._claim_delay.draw_seconds(
                self._count_zone_members(), was_holder, bool(self._initial_zone_holders)
            )
            await trio.sleep(delay)
            await trio.sleep_until(self._retry_at)
            if self._leaving.is_set():
                continue
            if self._count_contacts() < self._count_wanted_contacts():
                return

    def _is_discovery_over(self) -> bool:
        """Return whether this daemon has run long enough to know the other daemons."""
        return trio.current_time() - self._started_at >= ZONE_DISCOVERY_SECONDS

    def _count_wanted_contacts(self) -> int:
        """Return how many contacts the own zone should have."""
        n_per_zone = self._keys.n_per_zone
        if not self._is_discovery_over():
            return n_per_zone
        records = self._state.table.records
        zones = {row.availability_zone for row in records if row.is_live}
        # The record of a leaving daemon is not live, so there may be no zone.
        n_zones = max(1, len(zones))
        return max(n_per_zone, math.ceil(self._keys.min_contacts / n_zones))

    async def _claim_key(self) -> bool:
        """Claim a free contact key; False if there is none or a store call fails."""
        listed = await self._store.list_prefix(self._keys.zone_prefix)
        if listed.is_error():
            self._log.warn("store_read", reason=listed.error.detail)
            return False
        await self._introduce_to_holders(listed.ok.items)
        items_by_key = {row.key: row for row in listed.ok.items}
        own_address = self._state.table.own.endpoint_id.encode()
        n_wanted = self._count_wanted_contacts()
        n_inactive = 0
        index = 0
        while index < n_wanted + n_inactive:
            key = self._keys.get_key(index)
            if key in listed.ok.unreadable_keys:
                n_inactive += 1
                index += 1
                continue
            item = items_by_key.get(key)
            if item is not None and item.value != own_address:
                # A holder that has lost the store is replaced by an additional contact.
                n_inactive += self._is_holder_inactive(item)
                index += 1
                continue
            if index >= n_wanted and not await self._is_contact_still_needed():
                return False
            # A key with the own address belongs to an earlier process.
            revision = item.mod_revision if item is not None else 0
            return await self._acquire_key(index, revision, listed.ok.era)
        return False

    async def _is_contact_still_needed(self) -> bool:
        """Return whether the zone still lacks contacts after a short delay.

        The membership record of a holder that has just claimed its key may not have
        arrived yet.
        """
        await trio.sleep(CLAIM_RECHECK_DELAY_SECONDS)
        return self._count_contacts() < self._count_wanted_contacts()

    def _is_holder_inactive(self, item: store.KeyValue) -> bool:
        """Return whether a key's holder is not a contact, or no longer a member.

        A restored store may hold the key of a daemon that has left. False soon after
        the start of this daemon: the holder may have become a contact again without
        this daemon knowing yet.
        """
        if not self._is_discovery_over():
            return False
        record = self._state.table.get(_decode_holder(item))
        return record is None or not record.is_live or not record.is_contact

    async def _acquire_key(self, index: int, revision: int, read_era: int) -> bool:
        """Write a contact key under a new lease if it is still at ``revision``.

        Return False if the key has changed, a store call fails, this daemon leaves, or
        the store is no longer in the era ``read_era``, in which the revision was read.
        """
        async with self._lease_lock:
            if self._leaving.is_set():
                return False
            return await self._bind_key_to_new_lease(index, revision, read_era)

    async def _bind_key_to_new_lease(
        self, index: int, revision: int, read_era: int
    ) -> bool:
        key = self._keys.get_key(index)
        own_address = self._state.table.own.endpoint_id.encode()
        granted = await self._store.grant_lease(LEASE_TTL_SECONDS)
        if granted.is_error():
            return False
        lease_id = granted.ok.lease_id
        if not self._leaving.is_set():
            swapped = await self._store.compare_and_swap(
                key, revision, own_address, lease_id, read_era
            )
            if swapped.is_ok() and swapped.ok.is_applied:
                self._lease_id = lease_id
                self._key_index = index
                self._log.write("contact_claimed", key=key)
                return True
        if granted.ok.era == self._store.eras.era:
            await self._store.revoke_lease(lease_id)
        return False

    async def _act_as_contact(self) -> None:
        """Renew the lease and follow the configuration until the lease has ended."""
        await self._announce_role()
        self._update_guard()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(self._list_periodically)
            await self._keep_lease_alive()
            nursery.cancel_scope.cancel()
        self._log.write("contact_lost")

    async def _keep_lease_alive(self) -> None:
        """Renew the lease periodically; return once it has expired or was revoked.

        While the store does not answer, this daemon keeps trying to renew the lease,
        but its record says that it is not a contact: another daemon may still be able
        to reach the store. Never returns while this daemon leaves.

        A renewal also shows that the watch may be silent: its own connection is, or it
        is the first one to be answered again.
        """
        is_answered = True
        began_at = trio.current_time()
        while True:
            if not self._is_reclaim_due:
                await self._wait_for_renewal(began_at, is_answered)
            began_at = trio.current_time()
            if self._leaving.is_set():
                await trio.sleep_forever()
            if self._is_reclaim_due:
                if not await self._reclaim_key():
                    return
                # The new lease shows as much as a renewal.
                began_at = trio.current_time()
                continue
            if not self._lease_id:
                return
            if self._is_surplus():
                self._log.write("contact_resigned", n_contacts=self._count_contacts())
                await self.resign()
                return
            renewed = await self._store.keep_alive(self._lease_id)
            if self._is_reclaim_due or self._leaving.is_set():
                continue
            was_answered, is_answered = is_answered, renewed.is_ok()
            if renewed.is_error():
                await self._withdraw_role()
                continue
            if renewed.ok.found_silence:
                self._watcher.reopen("silent connections")
            elif not was_answered:
                self._watcher.reopen("answered again")
            if renewed.ok.ttl_seconds <= 0:
                self._lease_id = 0
                return
            await self._announce_role()
            self._update_guard()

    def _update_guard(self) -> None:
        """Let the watch of this contact be answered often if it is the guard."""
        contacts = [
            record
            for record in self._state.table.records
            if record.is_contact and record.is_live
        ]
        guard = _watch_guard.choose_guard(contacts)
        self._watcher.set_guard(self._state.table.own.endpoint_id == guard)

    async def _announce_role(self) -> None:
        """Push the contact flag to most of the zone at once if it was not set.

        Few other daemons then claim a key.
        """
        if self._leaving.is_set() or self._state.table.own.is_contact:
            return
        self._publish_contact_flag(True)
        await self._push_to_zone()

    async def _withdraw_role(self) -> None:
        """Push to most of the zone that this daemon has lost the store.

        Another one then reads in place of it, and claims a key.
        """
        if self._state.table.own.is_contact:
            self._publish_contact_flag(False)
            await self._push_to_zone()

    async def _wait_for_renewal(self, began_at: float, is_answered: bool) -> None:
        """Wait until a renewal is due after that of ``began_at``, or until a new era.

        Other answers show as well that the store can be reached. The lease itself needs
        a renewal every ``MAX_RETRY_INTERVAL_SECONDS`` only.
        """
        longest = MAX_RETRY_INTERVAL_SECONDS
        if is_answered:
            longest = KEEP_ALIVE_INTERVAL_SHARE * self._spread_seconds
        interval = longest * self._rng.uniform(MIN_KEEP_ALIVE_INTERVAL_SHARE, 1.0)
        earliest = trio.current_time() + MIN_RENEWAL_PAUSE_SECONDS
        latest = max(earliest, began_at + MAX_RETRY_INTERVAL_SECONDS)
        due_at = max(earliest, began_at + interval)
        with trio.move_on_at(latest):
            while True:
                await self._sleep_until_new_era(due_at)
                next_due_at = self._get_answered_at() + interval
                if self._is_reclaim_due or next_due_at <= due_at:
                    return
                due_at = next_due_at

    async def _reclaim_key(self) -> bool:
        """Claim a key again after a restore; return False if there is none to claim.

        A contact whose renewal failed while the store was away may have been replaced;
        it then makes no call. Otherwise it announces its role before the claim, so that
        it is not replaced although the store answers it again.
        """
        if self._is_replaced():
            self._is_reclaim_due = False
            return False
        await self._announce_role()
        is_claimed = False
        while self._is_reclaim_due:
            self._is_reclaim_due = False
            await trio.sleep(self._rng.uniform(0.0, RECLAIM_JITTER_SECONDS))
            is_claimed = await self._claim_key()
        return is_claimed

    async def _sleep_until_new_era(self, until: float) -> None:
        """Sleep until that time, or until the store begins a new era."""
        with trio.move_on_at(until):
            await self._new_era.wait()

    def _is_replaced(self) -> bool:
        """Return whether the zone has enough contacts without this one."""
        if self._state.table.own.is_contact:
            return False
        return self._count_contacts() >= self._count_wanted_contacts()

    def _is_surplus(self) -> bool:
        """Return whether this contact should resign.

        It should if the zone has more contacts than wanted and the index of this key is
        beyond the wanted number.
        """
        n_wanted = self._count_wanted_contacts()
        return self._key_index >= n_wanted and self._count_contacts() > n_wanted

    async def _list_periodically(self) -> None:
        """List the contacts, often at first and then at long intervals.

        The first listing follows the claim and is not stale. Of two contacts that
        claimed at the same time, at least one therefore finds the other. Later listings
        may be stale. The member list is read a little later, when the daemons that
        started together with this one have been introduced to it.
        """
        interval = MIN_LIST_INTERVAL_SECONDS
        await self._introduce_to_contacts()
        while True:
            await self._sleep_until_new_era(
                trio.current_time() + interval * self._rng.uniform(0.5, 1.5)
            )
            if self._is_listing_due:
                self._is_listing_due = False
                interval = MIN_LIST_INTERVAL_SECONDS
                await trio.sleep(self._rng.uniform(0.0, RECLAIM_JITTER_SECONDS))
            is_at_max_interval = interval >= MAX_LIST_INTERVAL_SECONDS
            interval = min(MAX_LIST_INTERVAL_SECONDS, interval * LIST_INTERVAL_GROWTH)
            await self._member_list.refresh(may_prune=is_at_max_interval)
            await self._introduce_to_contacts(may_be_stale=True)

    def _publish_contact_flag(self, is_contact: bool) -> None:
        now = trio.current_time()
        if self._leaving.is_set() or self._state.table.own.is_contact == is_contact:
            return
        record = self._state.table.update_own_record(now, is_contact=is_contact)
        self._state.publish_own_record(record)

    def _list_live_zone_members(self) -> list[membership.EndpointRecord]:
        zone = self._keys.availability_zone
        records = self._state.table.records
        return [r for r in records if r.availability_zone == zone and r.is_live]

    def _count_contacts(self) -> int:
        return sum(1 for record in self._list_live_zone_members() if record.is_contact)

    def _count_zone_members(self) -> int:
        return len(self._list_live_zone_members())

    def _count_members(self) -> int:
        return len(self._state.table)


def _decode_holder(item: store.KeyValue) -> str:
    """Return the address of the daemon that holds a contact key."""
    return item.value.decode("utf-8", "replace")
