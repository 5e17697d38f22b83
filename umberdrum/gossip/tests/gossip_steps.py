"""Steps for gossip datagrams, updates, synchronisation, probes and rate limit."""

import collections
import json
import logging
import random
import zlib

import behave
import trio
from behave import runner

from umberdrum import classes, gossip, logs, membership, peerlink, settings, wire
from umberdrum.membership.tests import membership_steps
from umberdrum.tests import harness

KEY = bytes(range(16))
SENDER_PROCESS = 7
OWN_PROCESS = 9
OWN_ID = "127.0.0.1:9999"
OLDER_POSITION = classes.EntryPosition(0, 0, 5)
NEWER_POSITION = classes.EntryPosition(0, 0, 9)


def _encode(sequence: int, key: bytes = KEY, target: int = OWN_PROCESS) -> bytes:
    message = wire.messages.Gossip(
        protocol_version=1,
        sender_id="127.0.0.1:1",
        sender_process_id=SENDER_PROCESS,
        sequence=sequence,
        target_process_id=target,
    )
    return gossip.DatagramCodec(key, SENDER_PROCESS).encode(message)


@behave.given("a datagram from another daemon")
def build_datagram(context: runner.Context) -> None:
    context.codec = gossip.DatagramCodec(KEY, OWN_PROCESS)
    context.datagram = _encode(200)


@behave.when('the datagram is "{change}"')
def change_datagram(context: runner.Context, change: str) -> None:
    datagram = context.datagram
    if change == "changed in one byte":
        datagram = bytes([datagram[0] ^ 1]) + datagram[1:]
    elif change == "truncated by one byte":
        datagram = datagram[:-1]
    elif change == "empty":
        datagram = b""
    elif change == "made with another key":
        datagram = _encode(200, key=bytes(16))
    elif change == "addressed to another process":
        datagram = _encode(200, target=OWN_PROCESS + 1)
    elif change == "sent a second time":
        assert context.codec.decode(datagram).is_ok()
    elif change.startswith("sent late"):
        assert context.codec.decode(datagram).is_ok()
        datagram = _encode(200 - int(change.split()[3]))
    context.decoded = context.codec.decode(datagram)


@behave.then("it is accepted")
def check_accepted(context: runner.Context) -> None:
    assert context.decoded.is_ok(), context.decoded


@behave.then("it is rejected")
def check_rejected(context: runner.Context) -> None:
    assert context.decoded.is_error()
    assert context.codec.n_rejected == 1


@behave.then("{n_datagrams:d} random datagrams are rejected")
def check_random_datagrams(context: runner.Context, n_datagrams: int) -> None:
    rng = random.Random(6)
    codec = gossip.DatagramCodec(KEY, OWN_PROCESS)
    for _ in range(n_datagrams):
        assert codec.decode(rng.randbytes(rng.randrange(80))).is_error()


def _build_record(index: int, version: int = 1) -> membership.EndpointRecord:
    return membership_steps.RECORD._replace(
        endpoint_id=f"127.0.0.1:{index + 1}", version=version
    )


@behave.given(
    "{n_updates:d} updates in the queue of a daemon in a cluster of {n_endpoints:d}"
)
def fill_queue(context: runner.Context, n_updates: int, n_endpoints: int) -> None:
    context.queue = gossip.UpdateQueue(OWN_ID)
    context.n_endpoints = n_endpoints
    for index in range(n_updates):
        context.queue.add_record(_build_record(index))


@behave.when("batches of {n_bytes:d} bytes are taken until the queue is empty")
def take_batches(context: runner.Context, n_bytes: int) -> None:
    context.n_sends = dict.fromkeys(range(1, 101), 0)
    context.sizes = []
    while len(context.queue):
        batch = context.queue.take_batch(n_bytes, context.n_endpoints)
        size = 0
        for record in batch.records:
            context.n_sends[int(record.endpoint_id.rpartition(":")[2])] += 1
            size += record.ByteSize()
        context.sizes.append(size)


@behave.then(
    "each update was sent {n_sends:d} times, and no batch exceeds {n_bytes:d} bytes"
)
def check_batches(context: runner.Context, n_sends: int, n_bytes: int) -> None:
    assert set(context.n_sends.values()) == {n_sends}, context.n_sends
    assert max(context.sizes) <= n_bytes, max(context.sizes)


@behave.when("one of the records changes again")
def update_record_again(context: runner.Context) -> None:
    context.queue.add_record(_build_record(3, version=2))


@behave.then("the queue still holds {n_updates:d} updates")
def check_queue_length(context: runner.Context, n_updates: int) -> None:
    assert len(context.queue) == n_updates


@behave.when("a daemon sends all available bytes for {seconds:d} s")
def send_available_bytes(context: runner.Context, seconds: int) -> None:
    token_bucket = gossip.GossipTokenBucket(0.0)
    context.n_measured_bytes = 0
    for step in range(seconds * 10):
        available = int(token_bucket.get_available(step / 10))
        if available <= 0:
            continue
        token_bucket.spend(available)
        if step >= 100:
            context.n_measured_bytes += available


@behave.then(
    "it sends at most {n_bytes:d} bytes a second on average over the last {seconds:d} s"
)
def check_sent_bytes(context: runner.Context, n_bytes: int, seconds: int) -> None:
    assert 0 < context.n_measured_bytes <= n_bytes * seconds, context.n_measured_bytes


def _build_document(n_routes: int) -> bytes:
    rules = [
        {"prefix": f"/r{index}/", "service": f"s{index % 7}", "timeout-s": 2}
        for index in range(n_routes)
    ]
    return json.dumps({"rules": rules}).encode()


@behave.when("a document of {n_routes:d} routes is encoded")
def encode_document(context: runner.Context, n_routes: int) -> None:
    document = _build_document(n_routes)
    context.entry = classes.CatalogEntry("config", 4, document, False)
    context.message = gossip.encode_entry(context.entry)


@behave.then(
    "the message has at most a fifth of the document's bytes and decodes to the same "
    "entry"
)
def check_encoded(context: runner.Context) -> None:
    n_bytes = len(context.entry.document)
    assert context.message.ByteSize() * 5 <= n_bytes, context.message.ByteSize()
    assert gossip.decode_entry(context.message).ok == context.entry


@behave.when("a compressed document is {change}")
def change_document(context: runner.Context, change: str) -> None:
    document = zlib.compress(_build_document(600))
    if change == "truncated":
        document = document[:-9]
    elif change == "not compressed":
        document = b"[]" * 300
    else:
        document = zlib.compress(bytes(3 << 20))
    context.message = wire.messages.ClassEntry(
        name="config", revision=4, document=document, is_compressed=True
    )


@behave.then("no entry is accepted and the reason is logged")
def check_not_accepted(context: runner.Context) -> None:
    logger = logging.Logger("state")
    lines: list[str] = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())  # type: ignore[method-assign]
    logger.addHandler(handler)
    table = membership.MembershipTable(membership_steps.RECORD)
    state = gossip.SharedState(table, logs.EventLog(logger, "d1"))
    state.merge_entry_messages([context.message])
    assert state.catalog.revision == 0
    assert ["event=document_refused" in line for line in lines] == [True], lines


@behave.given("a daemon at revision {own:d}")
def build_selector(context: runner.Context, own: int) -> None:
    context.own_position = classes.EntryPosition(0, 0, own)
    context.selector = gossip.FetchPeerSelector()


@behave.when(
    "a peer in {first} zone advertises revision 9, and after 0.1 s one in {second} zone"
)
def advertise_revisions(context: runner.Context, first: str, second: str) -> None:
    context.selected = "no peer"
    peer_names: dict[settings.Address, str] = {}
    for step in range(6):
        now = step / 10
        if step < 2:
            address = settings.Address("10.0.0.1", 7000 + step)
            peer_names[address] = ("first", "second")[step]
            is_same_zone = (first, second)[step] == "its own"
            peer = peerlink.PeerAddress(address, 1)
            context.selector.record_position(
                peer, NEWER_POSITION, context.own_position, is_same_zone, now
            )
        fetch = context.selector.take_fetch(context.own_position, now)
        if fetch is not None:
            delay = f"after {now:g} s" if now else "at once"
            context.selected = f"the {peer_names[fetch.peer.address]} peer {delay}"
            return


@behave.then("it fetches from {selected}")
def check_selected(context: runner.Context, selected: str) -> None:
    assert context.selected == selected, context.selected


@behave.when("peers of {zones} zone advertise revision 9 and give no answer for 2 s")
def advertise_without_answer(context: runner.Context, zones: str) -> None:
    context.fetches = []
    for index, zone in enumerate(zones.split(",")):
        peer = peerlink.PeerAddress(settings.Address("10.0.0.1", 1 + index), 1)
        context.selector.record_position(
            peer, NEWER_POSITION, context.own_position, zone == "its own", 0.0
        )
    now = 0.0
    while now <= 2.0:
        fetch = context.selector.take_fetch(context.own_position, now)
        if fetch is not None:
            context.fetches.append((fetch, now))
            continue
        due_at = context.selector.get_due_at(context.own_position)
        assert due_at > now, (due_at, now)
        now = due_at


@behave.then(
    "fetches go to the peers {peers} after {times} s, the first over a kept link"
)
def check_fetches(context: runner.Context, peers: str, times: str) -> None:
    found = ",".join(str(fetch.peer.address.port) for fetch, _ in context.fetches)
    assert found == peers, found
    began_at = ",".join(f"{now:g}" for _, now in context.fetches)
    assert began_at == times, began_at
    needs_new_link = [fetch.needs_new_link for fetch, _ in context.fetches]
    assert needs_new_link == [False] + [True] * (len(needs_new_link) - 1)


@behave.when(
    "the document comes by another way and another peer advertises revision 10"
)
def advertise_later_document(context: runner.Context) -> None:
    for fetch, _ in context.fetches:
        context.selector.end_fetch(fetch.peer, has_brought_document=False)
    context.later_peer = peerlink.PeerAddress(settings.Address("10.0.0.2", 1), 1)
    position = classes.EntryPosition(0, 0, 10)
    context.selector.record_position(
        context.later_peer, position, NEWER_POSITION, True, 2.0
    )


@behave.then("the later document is fetched at once")
def check_later_fetch(context: runner.Context) -> None:
    fetch = context.selector.take_fetch(NEWER_POSITION, 2.0)
    assert fetch is not None
    assert fetch.peer == context.later_peer
    assert not fetch.needs_new_link


@behave.when(
    "a peer advertises {n_changes:d} changes, one every {interval_ms:d} ms, and "
    "answers fetches after 0.1 s"
)
def advertise_series(context: runner.Context, n_changes: int, interval_ms: int) -> None:
    peer = peerlink.PeerAddress(settings.Address("10.0.0.1", 1), 1)
    selector = context.selector
    own = first = context.own_position
    advertised_ms: dict[int, int] = {}
    context.delays_ms = []
    context.max_outdated_seconds = 0.0
    replies: list[tuple[int, classes.EntryPosition]] = []
    newest = first
    for now_ms in range(0, n_changes * interval_ms + 10_000, 10):
        now = now_ms / 1000
        if now_ms % interval_ms == 0 and len(advertised_ms) < n_changes:
            newest = classes.EntryPosition(0, 0, newest.revision + 1)
            advertised_ms[newest.revision] = now_ms
            selector.record_position(peer, newest, own, True, now)
        while replies and replies[0][0] <= now_ms:
            _, position = replies.pop(0)
            for revision in range(own.revision + 1, position.revision + 1):
                context.delays_ms.append(now_ms - advertised_ms[revision])
            own = max(own, position)
            selector.end_fetch(peer, has_brought_document=True)
        outdated_seconds = selector.get_outdated_seconds(own, now)
        context.max_outdated_seconds = max(
            context.max_outdated_seconds, outdated_seconds
        )
        if selector.take_fetch(own, now) is not None:
            replies.append((now_ms + 100, newest))
    assert own == newest, (own, newest)


@behave.then("each change is fetched within 2 s and the store is not read for any")
def check_series(context: runner.Context) -> None:
    assert max(context.delays_ms) <= 2000, context.delays_ms
    # A daemon that lacks a document for 1 s reads it from the store.
    assert context.max_outdated_seconds < 1.0, context.max_outdated_seconds


@behave.when(
    "{n_peers:d} peers advertise revision 9 {how} and refuse every fetch for 120 s"
)
def refuse_fetches(context: runner.Context, n_peers: int, how: str) -> None:
    peers = [
        peerlink.PeerAddress(settings.Address("10.0.0.1", 1 + index), 1)
        for index in range(n_peers)
    ]
    context.n_fetches = collections.Counter()
    for now in range(120):
        for peer in peers:
            if now == 0 or how != "once":
                context.selector.record_position(
                    peer, NEWER_POSITION, context.own_position, True, float(now)
                )
        for tenth in range(10):
            fetch = context.selector.take_fetch(context.own_position, now + tenth / 10)
            while fetch is not None:
                context.n_fetches[fetch.peer] += 1
                context.selector.end_fetch(fetch.peer, has_brought_document=False)
                fetch = context.selector.take_fetch(
                    context.own_position, now + tenth / 10
                )


@behave.then(
    "each peer gets at most {n_fetches:d} fetches and the daemon counts as {state}"
)
def check_refused_fetches(context: runner.Context, n_fetches: int, state: str) -> None:
    assert max(context.n_fetches.values()) <= n_fetches, context.n_fetches
    is_outdated = context.selector.is_outdated(context.own_position)
    assert is_outdated == (state == "outdated")
    assert (
        context.selector.get_outdated_seconds(context.own_position, 120.0) > 0
    ) == is_outdated


@behave.when(
    "a peer in another zone advertises a newer revision at {n_times:d} random times"
)
def advertise_at_random_times(context: runner.Context, n_times: int) -> None:
    rng = random.Random(1)
    peer = peerlink.PeerAddress(settings.Address("10.0.0.1", 7000), 1)
    context.selected_peers = []
    for _ in range(n_times):
        selector = gossip.FetchPeerSelector()
        advertised_at = rng.uniform(1000.0, 5000.0)
        selector.record_position(
            peer, NEWER_POSITION, OLDER_POSITION, False, advertised_at
        )
        early_at = advertised_at + rng.uniform(0.0, 0.1)
        assert selector.take_fetch(OLDER_POSITION, early_at) is None
        due_at = selector.get_due_at(OLDER_POSITION)
        context.selected_peers.append(selector.take_fetch(OLDER_POSITION, due_at))


@behave.then("each time the peer is selected exactly when the wait has ended")
def check_wait_ends(context: runner.Context) -> None:
    n_early = context.selected_peers.count(None)
    assert n_early == 0, (
        f"{n_early} of {len(context.selected_peers)} waits ended too early"
    )


_PEER = peerlink.PeerAddress(settings.Address("10.0.0.1", 7000), 1)
_COMPLETED_SYNC = gossip.SyncResult(True, 1)


@behave.given("a daemon that knows {n_known:d} endpoints and has just synchronised")
def build_schedule(context: runner.Context, n_known: int) -> None:
    context.n_known = n_known
    context.schedule = gossip.SyncSchedule(random.Random(3))
    for _ in range(4):
        context.schedule.record_mismatch(_PEER, n_known, n_known, 0.0)
    assert context.schedule.take_due_peer(n_known, 0.0) is not None
    context.schedule.record_result(_COMPLETED_SYNC, 0.0)


@behave.when("peers that know {n_known_by_peer:d} send different digests every 0.1 s")
def send_different_digests(context: runner.Context, n_known_by_peer: int) -> None:
    context.next_sync_at = None
    for step in range(1, 100):
        now = step / 10
        context.schedule.record_mismatch(_PEER, n_known_by_peer, context.n_known, now)
        if context.schedule.take_due_peer(context.n_known, now) is not None:
            context.next_sync_at = now
            return


@behave.then("it synchronises again {again}")
def check_next_sync(context: runner.Context, again: str) -> None:
    seconds = float(again.split()[-2])
    if again.startswith("within"):
        assert context.next_sync_at <= seconds, context.next_sync_at
    else:
        assert context.next_sync_at >= seconds, context.next_sync_at


@behave.when(
    "each synchronisation adds an eighth, for {seconds:d} s with peers that know "
    "{n_known_by_peer:d}"
)
def add_endpoints_by_syncs(
    context: runner.Context, seconds: int, n_known_by_peer: int
) -> None:
    context.n_syncs = 0
    n_known_so_far = float(context.n_known)
    for step in range(1, seconds * 10):
        now = step / 10
        if n_known_so_far < n_known_by_peer:
            context.schedule.record_mismatch(
                _PEER, n_known_by_peer, int(n_known_so_far), now
            )
        else:
            context.schedule.record_match()
        if context.schedule.take_due_peer(int(n_known_so_far), now) is not None:
            context.schedule.record_result(_COMPLETED_SYNC, now)
            n_known_so_far = min(
                n_known_by_peer, max(n_known_so_far + 1, n_known_so_far * 9 / 8)
            )
            context.n_syncs += 1


@behave.then("it synchronises at most {n_syncs:d} times")
def check_syncs(context: runner.Context, n_syncs: int) -> None:
    assert 0 < context.n_syncs <= n_syncs, context.n_syncs


@behave.when("its own record changes")
def queue_own_record(context: runner.Context) -> None:
    context.queue.add_record(_build_record(9998))


@behave.then(
    "a batch of 0 bytes has the own record only, and one of 1000 bytes has it first"
)
def check_own_record_first(context: runner.Context) -> None:
    empty = context.queue.take_batch(0, context.n_endpoints)
    assert [row.endpoint_id for row in empty.records] == [OWN_ID]
    filled = context.queue.take_batch(1000, context.n_endpoints)
    assert filled.records[0].endpoint_id == OWN_ID
    assert len(filled.records) > 1


class _AnsweringSocket:
    """UDP socket that acts as if all probes were answered during the next send."""

    def __init__(self, exchange: gossip.GossipExchange) -> None:
        self._exchange = exchange
        self.will_answer = False

    async def sendto(self, _datagram: bytes, _address: object) -> None:
        await trio.lowlevel.checkpoint()
        if self.will_answer:
            self.will_answer = False
            self._exchange._probes.clear()


def _build_exchange(n_peers: int) -> tuple[gossip.GossipExchange, _AnsweringSocket]:
    log = logs.EventLog(logging.Logger("test"), "d1")
    table = membership.MembershipTable(_build_record(9998))
    table.merge([_build_record(index) for index in range(n_peers)], 0.0)
    state = gossip.SharedState(table, log)
    identity = peerlink.DaemonIdentity(OWN_ID, OWN_PROCESS)
    pool = peerlink.PeerLinkPool(identity, KEY)
    exchange = gossip.GossipExchange(
        state,
        gossip.PeerSynchronizer(state, pool),
        gossip.DatagramCodec(KEY, OWN_PROCESS),
        settings.parse_address(OWN_ID),
        random.Random(1),
        log,
    )
    answering_socket = _AnsweringSocket(exchange)
    exchange._socket = answering_socket  # type: ignore[assignment]
    return exchange, answering_socket


@behave.given("a daemon that probed {n_peers:d} peers and got no answer for 0.5 s")
def set_n_probed_peers(context: runner.Context, n_peers: int) -> None:
    context.n_peers = n_peers


@behave.when(
    "all answers arrive while it sends the first request for an indirect probe"
)
def request_indirect_probes(context: runner.Context) -> None:
    async def run() -> None:
        exchange, answering_socket = _build_exchange(context.n_peers)
        table = exchange._state.table
        for record in exchange._peer_selector.list_live_peers():
            await exchange._send_probe(record)
        await trio.sleep(0.5)
        answering_socket.will_answer = True
        async with trio.open_nursery() as nursery:
            await exchange._run_period(nursery)
            await trio.sleep(2.0)
            await exchange._run_period(nursery)
        context.suspected = [row for row in table.records if row.is_suspected]

    harness.run_on_virtual_clock(run)


@behave.then("no peer is suspected 2 s later")
def check_none_suspected(context: runner.Context) -> None:
    assert not context.suspected, context.suspected


@behave.given(
    "a daemon that knows {n_same:d} live peers in its zone and {n_other:d} in another "
    "zone"
)
def build_peer_selector(context: runner.Context, n_same: int, n_other: int) -> None:
    table = membership.MembershipTable(_build_record(9998))
    peers = [_build_record(index) for index in range(n_same)]
    for index in range(n_other):
        peers.append(_build_record(100 + index)._replace(availability_zone="az2"))
    table.merge(peers, 0.0)
    context.peer_selector = gossip.PeerSelector(table, random.Random(1))


@behave.when("a push to {n_peers:d} peers is requested")
def choose_push_targets(context: runner.Context, n_peers: int) -> None:
    context.push_targets = context.peer_selector.choose_push_targets(n_peers)


@behave.then("{n_chosen:d} peers are selected, {n_remote:d} of them in another zone")
def check_push_targets(context: runner.Context, n_chosen: int, n_remote: int) -> None:
    zones = [row.availability_zone for row in context.push_targets]
    assert (len(zones), zones.count("az2")) == (n_chosen, n_remote), zones


@behave.when("a peer in its zone is {state} and has last told of the {told} document")
def remind_peer(context: runner.Context, state: str, told: str) -> None:
    table = membership.MembershipTable(_build_record(9998))
    peer = _build_record(1)
    later = peer._replace(
        version=peer.version + 1,
        is_suspected=state == "suspected",
        is_final=state == "gone",
    )
    table.merge([peer], 0.0)
    table.merge([later], 0.0)
    reminders = gossip.ChangeReminders()
    process_id = peer.process_id + (1 if state == "restarted" else 0)
    position = NEWER_POSITION if told == "newer" else OLDER_POSITION
    reminders.record_position(peer.endpoint_id, process_id, position)
    zone_peers = gossip.PeerSelector(table, random.Random(1)).list_zone_peers()
    context.reminded = reminders.take_round(zone_peers, NEWER_POSITION, 1)


@behave.then("it reminds the peer of the newer document: {is_reminded}")
def check_reminded(context: runner.Context, is_reminded: str) -> None:
    assert bool(context.reminded) == (is_reminded == "yes"), context.reminded


@behave.when("it reminds {n_peers:d} peers in each of {n_rounds:d} rounds")
def remind_peers(context: runner.Context, n_peers: int, n_rounds: int) -> None:
    reminders = gossip.ChangeReminders()
    zone_peers = context.peer_selector.list_zone_peers()
    context.reminded = collections.Counter()
    for _ in range(n_rounds):
        for row in reminders.take_round(zone_peers, NEWER_POSITION, n_peers):
            context.reminded[row.endpoint_id] += 1


@behave.then("each peer of its zone is reminded {n_times:d} times")
def check_reminder_counts(context: runner.Context, n_times: int) -> None:
    assert set(context.reminded.values()) == {n_times}, context.reminded
    assert len(context.reminded) == len(context.peer_selector.list_zone_peers())


def _read_test_version(name: str, document: bytes) -> int:
    assert name == "config", name
    return int(document)


@behave.given(
    "a daemon that holds version {version:d} of era {era:d} at revision {revision:d}"
)
def build_versioned_state(
    context: runner.Context, version: int, era: int, revision: int
) -> None:
    log = logs.EventLog(logging.Logger("state"), "d1")
    table = membership.MembershipTable(membership_steps.RECORD)
    context.state = gossip.SharedState(table, log, _read_test_version)
    document = str(version).encode()
    entry = classes.CatalogEntry("config", revision, document, False, era)
    context.state.merge_entries([entry])


@behave.when(
    "a daemon of {build} sends version {version:d} of era {era:d} at revision "
    "{revision:d}"
)
def receive_versioned_entry(
    context: runner.Context, build: str, version: int, era: int, revision: int
) -> None:
    message = wire.messages.ClassEntry(
        name="config", revision=revision, document=str(version).encode()
    )
    if build == "this build":
        message.era = era
        message.version = version
    received = wire.messages.ClassEntry.FromString(message.SerializeToString())
    context.state.merge_entry_messages([received])


@behave.then("the daemon holds version {version:d} at revision {revision:d}")
def check_versioned_state(context: runner.Context, version: int, revision: int) -> None:
    entry = context.state.catalog.get_entry("config")
    assert entry is not None
    assert (entry.version, entry.revision) == (version, revision), entry
