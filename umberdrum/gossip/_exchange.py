"""Periodic gossip with random peers and failure detection by probes."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import trio

from umberdrum import (
    classes,
    crashes,
    errors,
    logs,
    membership,
    peerlink,
    settings,
    sockets,
    wire,
)
from umberdrum.gossip import (
    _change_reminders,
    _contact_sign,
    _datagram,
    _fetch_selector,
    _peer_selector,
    _state,
    _sync_schedule,
    _synchronizer,
    _token_bucket,
)

GOSSIP_PERIOD_SECONDS = 0.4
DIRECT_PROBE_TIMEOUT_SECONDS = 0.4
INDIRECT_PROBE_TIMEOUT_SECONDS = 1.0
N_INDIRECT_PROBERS = 2
RESERVED_MESSAGE_BYTES = 160  # for everything except updates
EXPIRY_INTERVAL_SECONDS = 5.0
# Bounds the datagrams of one delivery to about 13 KB, and of one push to about 3 KB.
MAX_DELIVERY_PEERS = 64
MAX_OWN_RECORD_PEERS = 16
MAX_MARKS_PER_MESSAGE = 16
DELIVERY_RETRY_SECONDS = 0.1
TOLD_SIZE_SECONDS = 10.0
MS_PER_SECOND = 1000.0
# Long enough for a document of 1 MB over a link of 5 Mbit/s.
FETCH_TIMEOUT_SECONDS = 2.0


class _Probe(NamedTuple):
    """Unanswered probe; ``requester`` is set if it was sent on behalf of a peer.

    ``has_indirect_probes`` is set once other peers have been asked to repeat it.
    """

    endpoint_id: str
    process_id: int
    sent_at: float
    has_indirect_probes: bool
    requester: settings.Address | None


class AskHandler(Protocol):
    """Function that answers the asks of other daemons for allotments."""

    def __call__(
        self, sender_id: str, ask: wire.messages.AllotmentAsk
    ) -> wire.messages.AllotmentGrant:
        """Return the grant for the daemon ``sender_id``."""


class LoadSource(Protocol):
    """Function that tells the load of the endpoint beside this daemon."""

    def __call__(self) -> wire.messages.LoadReport | None:
        """Return the present load, None if the endpoint takes no calls."""


class LoadListener(Protocol):
    """Function that is told the loads of other endpoints."""

    def __call__(self, key: str, load: wire.messages.LoadReport) -> None:
        """Take over the load of the endpoint ``key``."""


class StoreAgeSource(Protocol):
    """Function that tells when the store last answered this daemon."""

    def __call__(self) -> float | None:
        """Return the seconds since then, None if this daemon is no contact."""


class _PendingAsk:
    """Ask for allotments that was sent and not answered yet."""

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.grant: wire.messages.AllotmentGrant | None = None


class GossipExchange:
    """Gossip protocol of one daemon: one probe of a random peer per period.

    Probes and answers piggyback updates, which are changed records and classes, and
    digests of the membership table and the catalog. If a peer does not answer, two
    other peers are asked for an indirect probe: they probe it on behalf of this daemon.
    If that also yields no answer, the peer is suspected. If digests differ for some
    time, a full synchronisation over a peer link reconciles the two daemons.

    Timestamps of different machines are never compared.
    """

    def __init__(
        self,
        state: _state.SharedState,
        synchronizer: _synchronizer.PeerSynchronizer,
        codec: _datagram.DatagramCodec,
        listen: settings.Address,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        self._state = state
        self._synchronizer = synchronizer
        self._codec = codec
        self._listen = listen
        self._rng = rng
        self._log = log
        self._socket: sockets.DatagramSocket | None = None
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._urgent_probe_ids: set[str] = set()
        # Peers by the sequence numbers of the unanswered messages of a delivery.
        self._deliveries: dict[int, str] = {}
        self._asks: dict[int, _PendingAsk] = {}
        self.on_ask: AskHandler | None = None
        self.get_load: LoadSource | None = None
        self.on_load: LoadListener | None = None
        self._has_joined = False
        self._delivery_answered = trio.Event()
        self._peer_selector = _peer_selector.PeerSelector(state.table, rng)
        self._sync_schedule = _sync_schedule.SyncSchedule(rng)
        self._fetch_selector = _fetch_selector.FetchPeerSelector()
        self._fetch_wakeup = trio.Event()
        self._fetch_scopes: set[trio.CancelScope] = set()
        self._change_reminders = _change_reminders.ChangeReminders()
        self._catalog_changed = trio.Event()
        state.add_catalog_listener(self._handle_catalog_change)
        self._token_bucket = _token_bucket.GossipTokenBucket(0.0)
        self._wakeup = trio.Event()
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_failed_fetches = 0
        self.last_received_at: float | None = None
        self._contact_signs: dict[str, _contact_sign.ContactSign] = {}
        self.get_store_age: StoreAgeSource | None = None
        self._n_endpoints_told = 0
        self._n_endpoints_told_at = 0.0

    def get_told_cluster_size(self) -> int:
        """Return the most daemons that any peer has lately said it knows.

        A daemon that has just started learns from the first answer how many there are,
        before it knows them itself.
        """
        age_seconds = trio.current_time() - self._n_endpoints_told_at
        return self._n_endpoints_told if age_seconds <= TOLD_SIZE_SECONDS else 0

    def _record_cluster_size(self, n_endpoints: int, now: float) -> None:
        if n_endpoints >= self.get_told_cluster_size():
            self._n_endpoints_told = n_endpoints
            self._n_endpoints_told_at = now

    def bind(self) -> None:
        """Bind the UDP socket; raises ``OSError``."""
        self._socket = sockets.DatagramSocket(self._listen)

    def close(self) -> None:
        """Close the UDP socket."""
        if self._socket is not None:
            self._socket.close()

    async def run(self) -> None:
        """Run the gossip protocol until cancelled; ``bind`` must be called before."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_forever)
            nursery.start_soon(self._remove_expired_forever)
            nursery.start_soon(self._fetch_forever)
            nursery.start_soon(self._remind_forever)
            while True:
                self._wakeup = trio.Event()
                with trio.move_on_after(self._draw_period_seconds()):
                    await self._wakeup.wait()
                await self._run_period(nursery)

    def request_probe(self, endpoint_id: str) -> None:
        """Request an early probe of a daemon to which a call failed.

        The request is ignored if many such probes are pending.
        """
        if len(self._urgent_probe_ids) < N_INDIRECT_PROBERS * 4:
            self._urgent_probe_ids.add(endpoint_id)
            self._wakeup.set()

    async def probe(self, endpoint_id: str) -> None:
        """Probe a daemon at once, if it is known."""
        record = self._state.table.get(endpoint_id)
        if record is not None:
            await self._send_probe(record)

    def get_contact_sign(self, endpoint_id: str) -> _contact_sign.ContactSign:
        """Return when a daemon was last heard, and when the store last answered it."""
        return self._contact_signs.get(endpoint_id, _contact_sign.NO_SIGN)

    async def introduce(self, address: settings.Address) -> None:
        """Send the own record and updates to a daemon that may not know this one."""
        message = self._build_message(0)
        own = self._state.table.own
        if all(row.endpoint_id != own.endpoint_id for row in message.records):
            # The update of the own record leaves the queue after a number of sends, and
            # all of them may have been introductions that were lost.
            message.records.append(membership.encode_record(own))
        await self._send(message, address)

    async def deliver_own_record(self) -> None:
        """Send the own record to peers until each live peer has answered.

        Peers that do not answer get it again, in a process that may have replaced the
        one known before. A larger cluster than ``MAX_DELIVERY_PEERS`` learns it by
        gossip, of which the end is not known: then this does not return, and the caller
        cancels it.
        """
        self._deliveries.clear()
        peers = self._peer_selector.choose_push_targets(MAX_DELIVERY_PEERS)
        unanswered = {row.endpoint_id for row in peers}
        while unanswered:
            for record in self._peer_selector.list_live_peers():
                if record.endpoint_id in unanswered:
                    sequence = await self._send_own_record(record)
                    self._deliveries[sequence] = record.endpoint_id
            with trio.move_on_after(DELIVERY_RETRY_SECONDS):
                while not unanswered.isdisjoint(self._deliveries.values()):
                    self._delivery_answered = trio.Event()
                    await self._delivery_answered.wait()
            live = {row.endpoint_id for row in self._peer_selector.list_live_peers()}
            unanswered &= live & set(self._deliveries.values())
        if len(self._peer_selector.list_live_peers()) > MAX_DELIVERY_PEERS:
            await trio.sleep_forever()

    async def push_own_record(self) -> None:
        """Send the own record to up to ``MAX_OWN_RECORD_PEERS`` peers at once.

        Others learn it from them. The messages hold no other updates, so that they are
        short.
        """
        for record in self._peer_selector.choose_push_targets(MAX_OWN_RECORD_PEERS):
            await self._send_own_record(record)

    async def ask(
        self,
        record: membership.EndpointRecord,
        ask: wire.messages.AllotmentAsk,
        timeout_seconds: float,
    ) -> wire.messages.AllotmentGrant | None:
        """Send an ask for allotments; return the grant, None if none came in time.

        Asks are as frequent as calls and have no part in the byte budget of gossip.
        """
        message = self._build_bare_message(record.process_id)
        message.allotment_ask.CopyFrom(ask)
        pending = self._asks[message.sequence] = _PendingAsk()
        try:
            await self._send(message, record.address, is_budgeted=False)
            with trio.move_on_after(timeout_seconds):
                await pending.answered.wait()
        finally:
            del self._asks[message.sequence]
        return pending.grant

    async def push_crash_marks(self, marks: Sequence[crashes.CrashMark]) -> None:
        """Send marks to up to ``MAX_OWN_RECORD_PEERS`` peers at once.

        The caller of a marked request may repeat it at once, at any daemon.
        """
        for start in range(0, len(marks), MAX_MARKS_PER_MESSAGE):
            encoded = [
                crashes.encode_mark(mark)
                for mark in marks[start : start + MAX_MARKS_PER_MESSAGE]
            ]
            for record in self._peer_selector.choose_push_targets(MAX_OWN_RECORD_PEERS):
                message = self._build_bare_message(record.process_id)
                message.crash_marks.extend(encoded)
                await self._send(message, record.address)

    async def _send_own_record(self, peer: membership.EndpointRecord) -> int:
        """Send the own record to ``peer`` and return the message's sequence number."""
        message = self._build_bare_message(peer.process_id)
        message.records.append(membership.encode_record(self._state.table.own))
        await self._send(message, peer.address)
        return message.sequence

    def expects_documents(self) -> bool:
        """Return whether a peer has newer documents that are not fetched yet."""
        return self._fetch_selector.is_outdated(self._state.catalog.position)

    def get_outdated_seconds(self) -> float:
        """Return for how long this daemon has known of a document it lacks, else 0."""
        return self._fetch_selector.get_outdated_seconds(
            self._state.catalog.position, trio.current_time()
        )

    async def push_updates(self, n_peers: int) -> None:
        """Send updates to a few peers at once, for a change that must not wait.

        One of the peers is in another availability zone. Long documents are then
        fetched across zones only a few times.
        """
        targets = self._peer_selector.choose_push_targets(n_peers)
        for record in targets:
            await self._send_probe(record)

    async def _run_period(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        for probe in self._expire_probes(now):
            await self._request_indirect_probes(probe)
        while self._urgent_probe_ids:
            record = self._state.table.get(self._urgent_probe_ids.pop())
            if record is not None and record.is_live:
                await self._send_probe(record)
        record = self._peer_selector.choose_peer()
        if record is not None:
            await self._send_probe(record)
        dead_peer = self._peer_selector.choose_dead_peer()
        if dead_peer is not None:
            await self.introduce(dead_peer.address)
        peer = self._sync_schedule.take_due_peer(len(self._state.table), now)
        if peer is not None:
            nursery.start_soon(self._sync, peer)

    def _draw_period_seconds(self) -> float:
        jitter = self._rng.uniform(0.8, 1.2)
        if self._token_bucket.get_available(trio.current_time()) < 0:
            return GOSSIP_PERIOD_SECONDS * 2 * jitter
        return GOSSIP_PERIOD_SECONDS * jitter

    async def _send_probe(
        self,
        record: membership.EndpointRecord,
        requester: settings.Address | None = None,
    ) -> None:
        """Send a probe and register it; the answer is handled when it arrives."""
        message = self._build_message(record.process_id)
        self._probes[message.sequence] = _Probe(
            record.endpoint_id,
            record.process_id,
            trio.current_time(),
            False,
            requester,
        )
        if record.is_suspected:
            # The daemon can refute the suspicion only if it receives this record.
            message.records.append(membership.encode_record(record))
        await self._send(message, record.address)

    def _build_message(self, process_id: int) -> wire.messages.Gossip:
        """Return a message with as many updates as the byte budget allows."""
        available = self._token_bucket.get_available(trio.current_time())
        max_payload_bytes = _datagram.MAX_DATAGRAM_BYTES - RESERVED_MESSAGE_BYTES
        max_bytes = int(min(max_payload_bytes, available - RESERVED_MESSAGE_BYTES))
        batch = self._state.updates.take_batch(max_bytes, len(self._state.table))
        message = self._build_bare_message(process_id)
        message.records.extend(batch.records)
        message.classes.extend(batch.entries)
        message.crash_marks.extend(batch.crash_marks)
        return message

    def _build_bare_message(self, process_id: int) -> wire.messages.Gossip:
        """Return a message without updates."""
        self._sequence += 1
        table = self._state.table
        own = table.own
        load = self.get_load() if self.get_load is not None else None
        age = self.get_store_age() if self.get_store_age is not None else None
        return wire.messages.Gossip(
            load=load,
            protocol_version=_datagram.PROTOCOL_VERSION,
            sender_id=own.endpoint_id,
            sender_process_id=own.process_id,
            sequence=self._sequence,
            membership_digest=table.digest,
            catalog_digest=self._state.catalog.digest,
            n_endpoints=table.n_live,
            catalog_revision=self._state.catalog.position.revision,
            catalog_era=self._state.catalog.position.era,
            catalog_version=self._state.catalog.position.version,
            catalog_total=self._state.catalog.position.total,
            target_process_id=process_id,
            store_age_ms=_contact_sign.encode_store_age(age),
        )

    async def _send(
        self,
        message: wire.messages.Gossip,
        address: settings.Address,
        is_budgeted: bool = True,
    ) -> None:
        if self._socket is None:
            return
        datagram = self._codec.encode(message)
        n_bytes = len(datagram) + _datagram.PACKET_OVERHEAD_BYTES
        if is_budgeted:
            self._token_bucket.spend(n_bytes)
        self.n_bytes_sent += n_bytes
        try:
            await self._socket.sendto(datagram, address)
        except OSError as fault:
            self._log.warn("gossip_send", peer=str(address), reason=str(fault))

    async def _receive_forever(self) -> None:
        if self._socket is None:
            raise RuntimeError("bind() must be called before run()")
        while True:
            try:
                datagram, peer = await self._socket.receive()
            except OSError:
                # A peer's host reported a closed port; probe timeouts cover this case.
                continue
            self.n_bytes_received += len(datagram) + _datagram.PACKET_OVERHEAD_BYTES
            decoded = self._codec.decode(datagram)
            if decoded.is_ok():
                await self._handle_message(decoded.ok, peer)
                continue
            self._log.warn(
                "datagram_refused", peer=str(peer), reason=decoded.error.detail
            )
            if decoded.error.kind is errors.ErrorKind.STALE_INCARNATION:
                # The sender still holds the record of an earlier process at this
                # address. Its answer contains that record, which this daemon then
                # supersedes.
                await self.introduce(peer)

    async def _handle_message(
        self, message: wire.messages.Gossip, sender: settings.Address
    ) -> None:
        now = trio.current_time()
        self.last_received_at = now
        self._contact_signs[message.sender_id] = _contact_sign.update_sign(
            self.get_contact_sign(message.sender_id), message.store_age_ms, now
        )
        self._record_cluster_size(message.n_endpoints, now)
        # The sender's record may replace that of an earlier process at its address. The
        # sender must still be told of it.
        replaced_record = self._state.table.find_conflicting_record(
            message.sender_id, message.sender_process_id
        )
        self._state.merge_records(message.records, now)
        self._state.merge_entry_messages(message.classes)
        self._state.merge_crash_marks(message.crash_marks, now)
        if message.HasField("load") and self.on_load is not None:
            key = f"{message.sender_id}/{message.sender_process_id:016x}"
            self.on_load(key, message.load)
        try:
            self._record_position(message)
            self._compare_digests(message)
        except ValueError:
            # The sender id is not an address, so no synchronisation is possible.
            return
        if message.is_answer:
            await self._handle_answer(message)
            return
        if message.HasField("allotment_ask"):
            await self._answer_ask(message, sender)
            return
        if message.probe_for:
            await self._send_indirect_probe(message, sender)
            return
        answer = self._build_message(message.sender_process_id)
        answer.is_answer = True
        answer.answers_sequence = message.sequence
        conflicting_record = self._state.table.find_conflicting_record(
            message.sender_id, message.sender_process_id
        )
        # They are the same unless the sender's record has replaced one.
        earlier_record = conflicting_record or replaced_record
        if earlier_record is not None:
            answer.records.append(membership.encode_record(earlier_record))
        await self._send(answer, sender)

    async def _answer_ask(
        self, message: wire.messages.Gossip, sender: settings.Address
    ) -> None:
        if self.on_ask is None:
            return
        answer = self._build_bare_message(message.sender_process_id)
        answer.is_answer = True
        answer.answers_sequence = message.sequence
        grant = self.on_ask(message.sender_id, message.allotment_ask)
        answer.allotment_grant.CopyFrom(grant)
        await self._send(answer, sender, is_budgeted=False)

    async def _handle_answer(self, message: wire.messages.Gossip) -> None:
        pending = self._asks.get(message.answers_sequence)
        if pending is not None and message.HasField("allotment_grant"):
            pending.grant = message.allotment_grant
            pending.answered.set()
            return
        if message.probe_for:
            self._drop_probes(message.probe_for)
            return
        delivered_to = self._deliveries.pop(message.answers_sequence, None)
        if delivered_to is not None:
            self._end_delivery(delivered_to)
            return
        probe = self._probes.pop(message.answers_sequence, None)
        if probe is None:
            return
        for sequence, outstanding in list(self._probes.items()):
            if (
                outstanding.endpoint_id == probe.endpoint_id
                and outstanding.requester is None
            ):
                del self._probes[sequence]
        if probe.requester is not None:
            relay = self._build_message(0)
            relay.is_answer = True
            relay.probe_for = probe.endpoint_id
            await self._send(relay, probe.requester)

    async def _send_indirect_probe(
        self, message: wire.messages.Gossip, sender: settings.Address
    ) -> None:
        """Probe the daemon named in the message on behalf of the sender."""
        record = self._state.table.get(message.probe_for)
        if record is not None:
            await self._send_probe(record, sender)

    def _end_delivery(self, endpoint_id: str) -> None:
        for sequence, pending_id in list(self._deliveries.items()):
            if pending_id == endpoint_id:
                del self._deliveries[sequence]
        self._delivery_answered.set()

    def _drop_probes(self, endpoint_id: str) -> None:
        for sequence, probe in list(self._probes.items()):
            if probe.endpoint_id == endpoint_id:
                del self._probes[sequence]

    def _expire_probes(self, now: float) -> list[_Probe]:
        """Return probes past the direct timeout; suspect peers past the indirect one.

        This is not a coroutine, because answers that arrive during an await would
        modify the probes.
        """
        timed_out: list[_Probe] = []
        for sequence, probe in list(self._probes.items()):
            age_seconds = now - probe.sent_at
            if probe.requester is not None:
                if age_seconds > INDIRECT_PROBE_TIMEOUT_SECONDS:
                    del self._probes[sequence]
                continue
            if (
                not probe.has_indirect_probes
                and age_seconds > DIRECT_PROBE_TIMEOUT_SECONDS
            ):
                self._probes[sequence] = probe._replace(has_indirect_probes=True)
                timed_out.append(probe)
            elif (
                probe.has_indirect_probes
                and age_seconds > INDIRECT_PROBE_TIMEOUT_SECONDS
            ):
                del self._probes[sequence]
                self._state.suspect(probe.endpoint_id, probe.process_id, now)
        return timed_out

    async def _request_indirect_probes(self, probe: _Probe) -> None:
        live_peers = [
            row
            for row in self._peer_selector.list_live_peers()
            if row.endpoint_id != probe.endpoint_id
        ]
        for record in self._rng.sample(
            live_peers, min(N_INDIRECT_PROBERS, len(live_peers))
        ):
            message = self._build_message(record.process_id)
            message.probe_for = probe.endpoint_id
            await self._send(message, record.address)

    def _compare_digests(self, message: wire.messages.Gossip) -> None:
        table = self._state.table
        is_equal = (
            message.membership_digest == table.digest
            and message.catalog_digest == self._state.catalog.digest
        )
        if is_equal:
            self._sync_schedule.record_match()
            return
        peer = peerlink.PeerAddress(
            settings.parse_address(message.sender_id), message.sender_process_id
        )
        if self._sync_schedule.record_mismatch(
            peer, message.n_endpoints, table.n_live, trio.current_time()
        ):
            self._wakeup.set()

    def _record_position(self, message: wire.messages.Gossip) -> None:
        """Wake the fetch task if the sender has a newer document."""
        address = settings.parse_address(message.sender_id)
        record = self._state.table.get(message.sender_id)
        own_zone = self._state.table.own.availability_zone
        position = classes.EntryPosition(
            message.catalog_version,
            message.catalog_era,
            message.catalog_revision,
            message.catalog_total,
        )
        self._change_reminders.record_position(
            message.sender_id, message.sender_process_id, position
        )
        is_newer = self._fetch_selector.record_position(
            peerlink.PeerAddress(address, message.sender_process_id),
            position,
            self._state.catalog.position,
            record is not None and record.availability_zone == own_zone,
            trio.current_time(),
        )
        if is_newer:
            self._fetch_wakeup.set()

    async def _sync(self, peer: peerlink.PeerAddress) -> None:
        """Synchronise with a peer whose digests differ."""
        result = await self._synchronizer.sync_with(
            peer, trio.current_time(), needs_new_link=True
        )
        self._sync_schedule.record_result(result, trio.current_time())
        if result.n_newer_records and not self._has_joined:
            # The own record was sent only to peers that were known before.
            self._has_joined = True
            await self.push_own_record()

    async def _remind_forever(self) -> None:
        """Repeat each change for some time while this daemon is a contact."""
        while True:
            await self._catalog_changed.wait()
            self._catalog_changed = trio.Event()
            ends_at = trio.current_time() + _change_reminders.REMINDER_PERIOD_SECONDS
            while trio.current_time() < ends_at and not self._catalog_changed.is_set():
                await trio.sleep(_change_reminders.REMINDER_INTERVAL_SECONDS)
                if self._state.table.own.is_contact:
                    await self._send_reminders()

    async def _send_reminders(self) -> None:
        """Send the own position to peers of the zone that may not know it.

        The messages are no probes: an answer that is lost raises no suspicion.
        """
        n_peers = _change_reminders.MAX_REMINDED_PEERS
        if self._token_bucket.get_available(trio.current_time()) < 0:
            n_peers = _change_reminders.MIN_REMINDED_PEERS
        for record in self._change_reminders.take_round(
            self._peer_selector.list_zone_peers(),
            self._state.catalog.position,
            n_peers,
        ):
            message = self._build_bare_message(record.process_id)
            await self._send(message, record.address)

    async def _fetch_forever(self) -> None:
        """Fetch newer documents that peers advertise, and advertise them in turn."""
        async with trio.open_nursery() as nursery:
            while True:
                own_position = self._state.catalog.position
                if not self._fetch_selector.is_outdated(own_position):
                    # The document has come; other fetches of it may never be answered.
                    self._cancel_fetches()
                fetch = self._fetch_selector.take_fetch(
                    own_position, trio.current_time()
                )
                if fetch is not None:
                    nursery.start_soon(self._fetch, fetch)
                    continue
                self._fetch_wakeup = trio.Event()
                with trio.move_on_at(self._fetch_selector.get_due_at(own_position)):
                    await self._fetch_wakeup.wait()

    async def _fetch(self, fetch: _fetch_selector.Fetch) -> None:
        """Synchronise with a peer until it is answered, cancelled or too late."""
        now = trio.current_time()
        outdated_seconds = self.get_outdated_seconds()
        position = self._state.catalog.position
        is_completed = False
        scope = trio.CancelScope(deadline=now + FETCH_TIMEOUT_SECONDS)
        self._fetch_scopes.add(scope)
        try:
            with scope:
                result = await self._synchronizer.sync_with(
                    fetch.peer, now, fetch.needs_new_link
                )
                is_completed = result.is_completed
        finally:
            self._fetch_scopes.discard(scope)
            has_newer = self._state.catalog.position > position
            self._fetch_selector.end_fetch(fetch.peer, is_completed and has_newer)
        event = "document_fetched"
        if not is_completed:
            event = "fetch_overtaken" if has_newer else "fetch_failed"
        self._log_fetch(event, fetch, outdated_seconds, now)
        self._fetch_wakeup.set()

    def _handle_catalog_change(self, _catalog: classes.Catalog) -> None:
        self._fetch_wakeup.set()
        self._catalog_changed.set()

    def _cancel_fetches(self) -> None:
        for scope in self._fetch_scopes:
            scope.cancel()

    def _log_fetch(
        self,
        event: str,
        fetch: _fetch_selector.Fetch,
        outdated_seconds: float,
        began_at: float,
    ) -> None:
        """Log a fetch; ``outdated_seconds`` is how long it was due when it began."""
        if event == "fetch_failed":
            self.n_failed_fetches += 1
        self._log.write(
            event,
            peer=str(fetch.peer.address),
            new_link=fetch.needs_new_link,
            revision=self._state.catalog.revision,
            waited_ms=outdated_seconds * MS_PER_SECOND,
            ms=(trio.current_time() - began_at) * MS_PER_SECOND,
        )

    async def _remove_expired_forever(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_SECONDS)
            for endpoint_id in self._state.table.remove_expired(trio.current_time()):
                self._change_reminders.forget(endpoint_id)
                self._contact_signs.pop(endpoint_id, None)
                self._log.write("endpoint_forgotten", endpoint=endpoint_id)
