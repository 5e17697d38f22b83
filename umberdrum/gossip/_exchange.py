"""Periodic exchange of datagrams with a few peers, and detection of dead ones."""

import random
import socket
from typing import NamedTuple

import trio

from umberdrum import errors, logs, membership, peerlink, settings, wire
from umberdrum.gossip import (
    _budget,
    _datagram,
    _fetch_choice,
    _peer_choice,
    _state,
    _sync_schedule,
    _synchronizer,
)

PERIOD_SECONDS = 0.4
ANSWER_TIMEOUT_SECONDS = 0.4
CONFIRM_TIMEOUT_SECONDS = 1.0
N_HELPERS = 2
BASE_MESSAGE_BYTES = 160
FORGET_INTERVAL_SECONDS = 5.0


class _Probe(NamedTuple):
    """Question whose answer is awaited; ``requester`` asked for it, if any did."""

    endpoint_id: str
    process_id: int
    sent_at: float
    is_confirming: bool
    requester: settings.Address | None


class GossipExchange:
    """Gossip of one daemon: one question and its answer a period, to one peer.

    Questions and answers carry news and digests. A peer that does not answer is asked
    again through two others; when that brings nothing either it is suspected. Where
    digests differ for a while, a full synchronisation over a peer link mends it.

    It compares no times of different machines.
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
        self._socket: trio.socket.SocketType | None = None
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._urgent: set[str] = set()
        self._peer_choice = _peer_choice.PeerChoice(state.table, rng)
        self._sync_schedule = _sync_schedule.SyncSchedule(rng)
        self._fetch_choice = _fetch_choice.FetchChoice()
        self._fetch_wake = trio.Event()
        self._budget = _budget.ControlBudget(0.0)
        self._wake = trio.Event()
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.last_received_at: float | None = None

    async def bind(self) -> None:
        """Bind the UDP socket; raises ``OSError``."""
        family = socket.AF_INET6 if ":" in self._listen.host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_DGRAM)
        await sock.bind((self._listen.host, self._listen.port))
        self._socket = sock

    def close(self) -> None:
        """Close the UDP socket."""
        if self._socket is not None:
            self._socket.close()

    async def run(self) -> None:
        """Exchange datagrams for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_forever)
            nursery.start_soon(self._forget_forever)
            nursery.start_soon(self._fetch_forever)
            while True:
                self._wake = trio.Event()
                with trio.move_on_after(self._draw_period()):
                    await self._wake.wait()
                await self._run_period(nursery)

    def request_probe(self, endpoint_id: str) -> None:
        """Ask the named daemon soon, because a call to it failed."""
        if len(self._urgent) < N_HELPERS * 4:
            self._urgent.add(endpoint_id)
            self._wake.set()

    async def introduce(self, address: settings.Address) -> None:
        """Send the own record and news to a daemon that is not known yet."""
        message = self._build_message(0)
        own = self._state.table.own
        if all(row.endpoint_id != own.endpoint_id for row in message.records):
            # Introductions to those who did not hear may have used up the news of it.
            message.records.append(membership.encode_record(own))
        await self._send(message, address)

    async def push_updates(self, n_peers: int) -> None:
        """Send news to a few peers at once, for a change that must not wait.

        One of them is of another availability zone: long documents are then fetched
        from zone to zone a few times only.
        """
        chosen = self._peer_choice.choose_for_push(n_peers)
        for record in chosen:
            await self._ask(record)

    async def _run_period(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        for probe in self._judge_probes(now):
            await self._ask_helpers(probe)
        while self._urgent:
            record = self._state.table.get(self._urgent.pop())
            if record is not None and record.is_live:
                await self._ask(record)
        record = self._peer_choice.choose_peer()
        if record is not None:
            await self._ask(record)
        departed = self._peer_choice.choose_departed()
        if departed is not None:
            await self.introduce(departed.address)
        peer = self._sync_schedule.take(len(self._state.table), now)
        if peer is not None:
            nursery.start_soon(self._sync, peer)

    def _draw_period(self) -> float:
        jitter = self._rng.uniform(0.8, 1.2)
        if self._budget.get_available(trio.current_time()) < 0:
            return PERIOD_SECONDS * 2 * jitter
        return PERIOD_SECONDS * jitter

    async def _ask(
        self,
        record: membership.EndpointRecord,
        requester: settings.Address | None = None,
    ) -> None:
        """Send a question and await its answer in the background."""
        message = self._build_message(record.process_id)
        self._probes[message.sequence] = _Probe(
            record.endpoint_id,
            record.process_id,
            trio.current_time(),
            False,
            requester,
        )
        if record.is_suspected:
            # The daemon must hear of the suspicion to answer it.
            message.records.append(membership.encode_record(record))
        await self._send(message, record.address)

    def _build_message(self, process_id: int) -> wire.messages.Gossip:
        self._sequence += 1
        table = self._state.table
        own = table.own
        available = self._budget.get_available(trio.current_time())
        room = _datagram.MAX_DATAGRAM_BYTES - BASE_MESSAGE_BYTES
        max_bytes = int(min(room, available - BASE_MESSAGE_BYTES))
        batch = self._state.news.take_batch(max_bytes, len(table))
        return wire.messages.Gossip(
            protocol_version=_datagram.PROTOCOL_VERSION,
            sender_id=own.endpoint_id,
            sender_process_id=own.process_id,
            sequence=self._sequence,
            membership_digest=table.digest,
            catalog_digest=self._state.catalog.digest,
            records=batch.records,
            classes=batch.entries,
            n_endpoints=table.n_live,
            catalog_revision=self._state.catalog.revision,
            target_process_id=process_id,
        )

    async def _send(
        self, message: wire.messages.Gossip, address: settings.Address
    ) -> None:
        if self._socket is None:
            return
        datagram = self._codec.encode(message)
        n_bytes = len(datagram) + _datagram.PACKET_OVERHEAD_BYTES
        self._budget.spend(n_bytes)
        self.n_bytes_sent += n_bytes
        try:
            await self._socket.sendto(datagram, (address.host, address.port))
        except OSError as fault:
            self._log.warn("gossip_send", peer=str(address), reason=str(fault))

    async def _receive_forever(self) -> None:
        if self._socket is None:
            raise RuntimeError("expected bind before run")
        while True:
            try:
                datagram, sender = await self._socket.recvfrom(65_536)
            except OSError:
                # A peer's host reported its port closed; its silence is judged anyway.
                continue
            self.n_bytes_received += len(datagram) + _datagram.PACKET_OVERHEAD_BYTES
            peer = settings.Address(*sender[:2])
            decoded = self._codec.decode(datagram)
            if decoded.is_ok():
                await self._take_message(decoded.ok, peer)
                continue
            self._log.warn(
                "datagram_refused", peer=str(peer), reason=decoded.error.detail
            )
            if decoded.error.kind is errors.ErrorKind.STALE_INCARNATION:
                # The sender knows the process that was here before this one. Its answer
                # names that process's record, which this one then replaces.
                await self.introduce(peer)

    async def _take_message(
        self, message: wire.messages.Gossip, sender: settings.Address
    ) -> None:
        now = trio.current_time()
        self.last_received_at = now
        self._state.merge_records(message.records, now)
        self._state.merge_entry_messages(message.classes)
        try:
            self._note_revision(message)
            self._compare_digests(message)
        except ValueError:
            # The sender gave no address; it can't be synchronised with.
            return
        if message.is_answer:
            await self._take_answer(message)
            return
        if message.probe_for:
            await self._help_probe(message, sender)
            return
        answer = self._build_message(message.sender_process_id)
        answer.is_answer = True
        answer.answers_sequence = message.sequence
        correction = self._state.table.find_conflicting_record(
            message.sender_id, message.sender_process_id
        )
        if correction is not None:
            answer.records.append(membership.encode_record(correction))
        await self._send(answer, sender)

    async def _take_answer(self, message: wire.messages.Gossip) -> None:
        if message.probe_for:
            self._drop_probes(message.probe_for)
            return
        probe = self._probes.pop(message.answers_sequence, None)
        if probe is None:
            return
        for sequence, other in list(self._probes.items()):
            if other.endpoint_id == probe.endpoint_id and other.requester is None:
                del self._probes[sequence]
        if probe.requester is not None:
            relay = self._build_message(0)
            relay.is_answer = True
            relay.probe_for = probe.endpoint_id
            await self._send(relay, probe.requester)

    async def _help_probe(
        self, message: wire.messages.Gossip, sender: settings.Address
    ) -> None:
        """Ask the named daemon on behalf of the sender."""
        record = self._state.table.get(message.probe_for)
        if record is not None:
            await self._ask(record, sender)

    def _drop_probes(self, endpoint_id: str) -> None:
        for sequence, probe in list(self._probes.items()):
            if probe.endpoint_id == endpoint_id:
                del self._probes[sequence]

    def _judge_probes(self, now: float) -> list[_Probe]:
        """Suspect who gave no answer at all; return the probes to repeat by others.

        It waits for nothing: answers that arrive meanwhile would change the probes.
        """
        to_confirm: list[_Probe] = []
        for sequence, probe in list(self._probes.items()):
            age = now - probe.sent_at
            if probe.requester is not None:
                if age > CONFIRM_TIMEOUT_SECONDS:
                    del self._probes[sequence]
                continue
            if not probe.is_confirming and age > ANSWER_TIMEOUT_SECONDS:
                self._probes[sequence] = probe._replace(is_confirming=True)
                to_confirm.append(probe)
            elif probe.is_confirming and age > CONFIRM_TIMEOUT_SECONDS:
                del self._probes[sequence]
                self._state.suspect(probe.endpoint_id, probe.process_id, now)
        return to_confirm

    async def _ask_helpers(self, probe: _Probe) -> None:
        members = [
            row
            for row in self._peer_choice.list_members()
            if row.endpoint_id != probe.endpoint_id
        ]
        for record in self._rng.sample(members, min(N_HELPERS, len(members))):
            message = self._build_message(record.process_id)
            message.probe_for = probe.endpoint_id
            await self._send(message, record.address)

    def _compare_digests(self, message: wire.messages.Gossip) -> None:
        table = self._state.table
        is_same = (
            message.membership_digest == table.digest
            and message.catalog_digest == self._state.catalog.digest
        )
        if is_same:
            self._sync_schedule.note_agreement()
            return
        peer = peerlink.PeerAddress(
            settings.parse_address(message.sender_id), message.sender_process_id
        )
        if self._sync_schedule.note_mismatch(
            peer, message.n_endpoints, table.n_live, trio.current_time()
        ):
            self._wake.set()

    def _note_revision(self, message: wire.messages.Gossip) -> None:
        """Synchronise soon if the sender has a document which is news here."""
        address = settings.parse_address(message.sender_id)
        record = self._state.table.get(message.sender_id)
        own_zone = self._state.table.own.availability_zone
        is_newer = self._fetch_choice.note_revision(
            peerlink.PeerAddress(address, message.sender_process_id),
            message.catalog_revision,
            self._state.catalog.revision,
            record is not None and record.availability_zone == own_zone,
            trio.current_time(),
        )
        if is_newer:
            self._fetch_wake.set()

    async def _sync(self, peer: peerlink.PeerAddress) -> None:
        """Synchronise with a peer whose digests differ."""
        result = await self._synchronizer.sync_with(peer, trio.current_time())
        self._sync_schedule.note_result(result, trio.current_time())

    async def _fetch_forever(self) -> None:
        """Get documents that peers have named, and pass their names on."""
        while True:
            now = trio.current_time()
            peer = self._fetch_choice.take(self._state.catalog.revision, now)
            if peer is not None:
                await self._synchronizer.sync_with(peer, now)
                continue
            self._fetch_wake = trio.Event()
            with trio.move_on_at(self._fetch_choice.get_due_at()):
                await self._fetch_wake.wait()

    async def _forget_forever(self) -> None:
        while True:
            await trio.sleep(FORGET_INTERVAL_SECONDS)
            for endpoint_id in self._state.table.remove_expired(trio.current_time()):
                self._log.write("endpoint_forgotten", endpoint=endpoint_id)
