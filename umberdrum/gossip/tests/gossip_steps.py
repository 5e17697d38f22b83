"""Steps on gossip datagrams, news and the control budget."""

import random

import behave
from behave import runner

from umberdrum import gossip, membership, wire
from umberdrum.membership.tests import membership_steps

KEY = bytes(range(16))
SENDER_PROCESS = 7
OWN_PROCESS = 9


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
    context.queue = gossip.NewsQueue()
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
