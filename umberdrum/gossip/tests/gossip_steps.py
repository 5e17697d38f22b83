"""Steps on gossip datagrams, news and the control budget."""

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


@behave.when('it is "{change}"')
def change_datagram(context: runner.Context, change: str) -> None:
    datagram = context.datagram
    if change == "changed in one byte":
        datagram = bytes([datagram[0] ^ 1]) + datagram[1:]
    elif change == "cut by one byte":
        datagram = datagram[:-1]
    elif change == "empty":
        datagram = b""
    elif change == "made with another key":
        datagram = _encode(200, key=bytes(16))
    elif change == "meant for another process":
        datagram = _encode(200, target=OWN_PROCESS + 1)
    elif change == "sent a second time":
        assert context.codec.decode(datagram).is_ok()
    elif change.startswith("sent late"):
        assert context.codec.decode(datagram).is_ok()
        datagram = _encode(200 - int(change.split()[3]))
    context.decoded = context.codec.decode(datagram)


@behave.then("it is taken")
def check_taken(context: runner.Context) -> None:
    assert context.decoded.is_ok(), context.decoded


@behave.then("it is refused")
def check_refused(context: runner.Context) -> None:
    assert context.decoded.is_error()
    assert context.codec.n_refused == 1


@behave.then("{n_datagrams:d} random datagrams are refused")
def check_random(context: runner.Context, n_datagrams: int) -> None:
    rng = random.Random(6)
    codec = gossip.DatagramCodec(KEY, OWN_PROCESS)
    for _ in range(n_datagrams):
        assert codec.decode(rng.randbytes(rng.randrange(80))).is_error()


def _build_record(index: int, version: int = 1) -> membership.EndpointRecord:
    return membership_steps.RECORD._replace(
        endpoint_id=f"127.0.0.1:{index + 1}", version=version
    )


@behave.given("{n_changes:d} changes in the queue of a daemon among {n_endpoints:d}")
def fill_queue(context: runner.Context, n_changes: int, n_endpoints: int) -> None:
    context.queue = gossip.NewsQueue(OWN_ID)
    context.n_endpoints = n_endpoints
    for index in range(n_changes):
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
    "each change was sent {n_sends:d} times, and no batch exceeds {n_bytes:d} bytes"
)
def check_batches(context: runner.Context, n_sends: int, n_bytes: int) -> None:
    assert set(context.n_sends.values()) == {n_sends}, context.n_sends
    assert max(context.sizes) <= n_bytes, max(context.sizes)


@behave.when("one of them changes again")
def change_again(context: runner.Context) -> None:
    context.queue.add_record(_build_record(3, version=2))


@behave.then("the queue still holds {n_changes:d}")
def check_queue(context: runner.Context, n_changes: int) -> None:
    assert len(context.queue) == n_changes


@behave.when("a daemon spends whatever its budget has, for {seconds:d} s")
def spend_all(context: runner.Context, seconds: int) -> None:
    budget = gossip.ControlBudget(0.0)
    context.n_late_bytes = 0
    for step in range(seconds * 10):
        available = int(budget.get_available(step / 10))
        if available <= 0:
            continue
        budget.spend(available)
        if step >= 100:
            context.n_late_bytes += available


@behave.then(
    "it spends at most {n_bytes:d} bytes a second on average "
    "over the last {seconds:d} s"
)
def check_spent(context: runner.Context, n_bytes: int, seconds: int) -> None:
    assert 0 < context.n_late_bytes <= n_bytes * seconds, context.n_late_bytes


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


@behave.then("it takes at most a fifth of its bytes and decodes to the same")
def check_encoded(context: runner.Context) -> None:
    n_bytes = len(context.entry.document)
    assert context.message.ByteSize() * 5 <= n_bytes, context.message.ByteSize()
    assert gossip.decode_entry(context.message).ok == context.entry


@behave.when("a compressed document is {change}")
def change_document(context: runner.Context, change: str) -> None:
    document = zlib.compress(_build_document(600))
    if change == "cut short":
        document = document[:-9]
    elif change == "not compressed":
        document = b"[]" * 300
    else:
        document = zlib.compress(bytes(3 << 20))
    context.message = wire.messages.ClassEntry(
        name="config", revision=4, document=document, is_compressed=True
    )


@behave.then("no entry is taken and a line says why")
def check_not_taken(context: runner.Context) -> None:
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
def build_choice(context: runner.Context, own: int) -> None:
    context.own_revision = own
    context.choice = gossip.FetchChoice()


@behave.when(
    "a peer of {first} zone names revision 9, and after 0.1 s one of {second} zone"
)
def name_revisions(context: runner.Context, first: str, second: str) -> None:
    context.asked = "nobody"
    names: dict[settings.Address, str] = {}
    for step in range(6):
        now = step / 10
        if step < 2:
            address = settings.Address("10.0.0.1", 7000 + step)
            names[address] = ("first", "second")[step]
            is_near = (first, second)[step] == "its own"
            peer = peerlink.PeerAddress(address, 1)
            context.choice.note_revision(peer, 9, context.own_revision, is_near, now)
        taken = context.choice.take(context.own_revision, now)
        if taken is not None:
            moment = f"after {now:g} s" if now else "at once"
            context.asked = f"the {names[taken.address]} peer {moment}"
            return


@behave.then("it asks {asked}")
def check_asked(context: runner.Context, asked: str) -> None:
    assert context.asked == asked, context.asked


@behave.when(
    "peers of another zone name a newer revision at {n_moments:d} random moments"
)
def name_at_random(context: runner.Context, n_moments: int) -> None:
    rng = random.Random(1)
    peer = peerlink.PeerAddress(settings.Address("10.0.0.1", 7000), 1)
    context.taken = []
    for _ in range(n_moments):
        choice = gossip.FetchChoice()
        named_at = rng.uniform(1000.0, 5000.0)
        choice.note_revision(peer, 9, 5, False, named_at)
        looked_at = named_at + rng.uniform(0.0, 0.1)
        assert choice.take(5, looked_at) is None
        context.taken.append(choice.take(5, choice.get_due_at()))


@behave.then("each time one is asked exactly when the wait has ended")
def check_waits(context: runner.Context) -> None:
    n_early = context.taken.count(None)
    assert n_early == 0, f"{n_early} of {len(context.taken)} waits ended too early"


_PEER = peerlink.PeerAddress(settings.Address("10.0.0.1", 7000), 1)
_SYNCED = gossip.SyncResult(True, 1)


@behave.given("a daemon that knows {n_known:d} endpoints and has just synchronised")
def build_schedule(context: runner.Context, n_known: int) -> None:
    context.n_known = n_known
    context.schedule = gossip.SyncSchedule(random.Random(3))
    for _ in range(4):
        context.schedule.note_mismatch(_PEER, n_known, n_known, 0.0)
    assert context.schedule.take(n_known, 0.0) is not None
    context.schedule.note_result(_SYNCED, 0.0)


@behave.when("peers that know {n_there:d} name other digests each 0.1 s")
def name_digests(context: runner.Context, n_there: int) -> None:
    context.again_at = None
    for step in range(1, 100):
        now = step / 10
        context.schedule.note_mismatch(_PEER, n_there, context.n_known, now)
        if context.schedule.take(context.n_known, now) is not None:
            context.again_at = now
            return


@behave.then("it synchronises again {again}")
def check_again(context: runner.Context, again: str) -> None:
    seconds = float(again.split()[-2])
    if again.startswith("within"):
        assert context.again_at <= seconds, context.again_at
    else:
        assert context.again_at >= seconds, context.again_at


@behave.when(
    "each synchronisation adds an eighth, for {seconds:d} s among peers that know "
    "{n_there:d}"
)
def learn_slowly(context: runner.Context, seconds: int, n_there: int) -> None:
    context.n_syncs = 0
    known = float(context.n_known)
    for step in range(1, seconds * 10):
        now = step / 10
        if known < n_there:
            context.schedule.note_mismatch(_PEER, n_there, int(known), now)
        else:
            context.schedule.note_agreement()
        if context.schedule.take(int(known), now) is not None:
            context.schedule.note_result(_SYNCED, now)
            known = min(n_there, max(known + 1, known * 9 / 8))
            context.n_syncs += 1


@behave.then("it synchronises at most {n_syncs:d} times")
def check_syncs(context: runner.Context, n_syncs: int) -> None:
    assert 0 < context.n_syncs <= n_syncs, context.n_syncs


@behave.when("its own record changes")
def update_own_record(context: runner.Context) -> None:
    context.queue.add_record(_build_record(9998))


@behave.then(
    "a batch of 0 bytes has the own record only, and one of 1000 bytes has it first"
)
def check_own_first(context: runner.Context) -> None:
    empty = context.queue.take_batch(0, context.n_endpoints)
    assert [row.endpoint_id for row in empty.records] == [OWN_ID]
    filled = context.queue.take_batch(1000, context.n_endpoints)
    assert filled.records[0].endpoint_id == OWN_ID
    assert len(filled.records) > 1


class _AnsweringSocket:
    """UDP socket whose first datagram is followed by answers to all probes."""

    def __init__(self, exchange: gossip.GossipExchange) -> None:
        self._exchange = exchange
        self.is_answering = False

    async def sendto(self, _datagram: bytes, _address: object) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_answering:
            self.is_answering = False
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
    answering = _AnsweringSocket(exchange)
    exchange._socket = answering  # type: ignore[assignment]
    return exchange, answering


@behave.given("a daemon that asked {n_peers:d} peers and got no answer for 0.5 s")
def ask_peers(context: runner.Context, n_peers: int) -> None:
    context.n_peers = n_peers


@behave.when("it asks others for help, and all answers come with the first datagram")
def ask_for_help(context: runner.Context) -> None:
    async def run() -> None:
        exchange, answering = _build_exchange(context.n_peers)
        table = exchange._state.table
        for record in exchange._peer_choice.list_members():
            await exchange._ask(record)
        await trio.sleep(0.5)
        answering.is_answering = True
        async with trio.open_nursery() as nursery:
            await exchange._run_period(nursery)
            await trio.sleep(2.0)
            await exchange._run_period(nursery)
        context.suspected = [row for row in table.records if row.is_suspected]

    harness.run_on_virtual_clock(run)


@behave.then("no peer is suspected 2 s later")
def check_suspected(context: runner.Context) -> None:
    assert not context.suspected, context.suspected
