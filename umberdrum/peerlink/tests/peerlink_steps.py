"""Steps for frames and the handshake."""

import contextlib
import random
from collections.abc import Awaitable, Callable

import behave
import trio
from behave import runner

from umberdrum import peerlink, sockets
from umberdrum.tests import harness

KEY = bytes(range(16))
OPENER = peerlink.DaemonIdentity("127.0.0.1:1", 11)
ACCEPTOR = peerlink.DaemonIdentity("127.0.0.1:2", 22)

LinkTest = Callable[[peerlink.FrameChannel, peerlink.FrameChannel], Awaitable[None]]


async def open_connection_pair() -> tuple[sockets.Connection, sockets.Connection]:
    """Return both ends of one loopback connection."""
    address = harness.find_free_address()
    listener = sockets.bind_tcp(address)
    opened = await sockets.connect(address, 1.0)
    accepted, _ = listener.accept()
    listener.close()
    return opened, sockets.Connection(accepted)


async def _run_with_link(test: LinkTest) -> None:
    opened, accepted = await open_connection_pair()
    opener = peerlink.FrameChannel(opened)
    acceptor = peerlink.FrameChannel(accepted)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(peerlink.accept_handshake, acceptor, ACCEPTOR, KEY)
        await peerlink.open_handshake(opener, OPENER, 5, KEY)
    await test(opener, acceptor)
    opened.close()
    accepted.close()


@behave.given("a link between two daemons")
def build_link(context: runner.Context) -> None:
    context.is_linked = True


@behave.then("a frame sent by either side arrives unchanged")
def check_frames(context: runner.Context) -> None:
    async def test(
        opener: peerlink.FrameChannel, acceptor: peerlink.FrameChannel
    ) -> None:
        kind = peerlink.FrameKind.CALL
        for sender, receiver in ((opener, acceptor), (acceptor, opener)):
            for n_bytes in (0, 1, 65_536):
                await sender.send(kind, b"head", bytes(n_bytes))
                frame = await receiver.receive()
                assert frame == peerlink.Frame(kind, b"head", bytes(n_bytes))

    harness.run_on_virtual_clock(lambda: _run_with_link(test))


async def _record_hello() -> bytes:
    """Return the bytes that a real opener sends before it gets a response."""
    opened, accepted = await open_connection_pair()
    channel = peerlink.FrameChannel(opened)
    recorded = b""
    async with trio.open_nursery() as nursery:

        async def answer() -> None:
            nonlocal recorded
            recorded = await accepted.receive()
            accepted.close()

        nursery.start_soon(answer)
        with contextlib.suppress(sockets.ConnectionLostError):
            await peerlink.open_handshake(channel, OPENER, 5, KEY)
    return recorded


async def _run_faulty_handshake(peer: str, refusing_sides: list[str]) -> None:
    raw = {
        "a silent peer": b"",
        "random bytes": random.Random(2).randbytes(300),
        "an oversized first frame": b"\x7f\xff\xff\xff\x01\x00\x00\x00\x00",
        "a replayed hello": await _record_hello() + bytes(64),
    }
    opened, accepted = await open_connection_pair()
    opener = peerlink.FrameChannel(opened)
    acceptor = peerlink.FrameChannel(accepted)
    async with trio.open_nursery() as nursery:

        async def accept() -> None:
            try:
                await peerlink.accept_handshake(acceptor, ACCEPTOR, KEY)
                await acceptor.receive()
            except (peerlink.PeerNotAuthenticError, peerlink.FrameError):
                refusing_sides.append("acceptor")
            except sockets.ConnectionLostError:
                pass
            accepted.close()

        nursery.start_soon(accept)
        if peer in raw:
            await opened.send(raw[peer])
            await trio.sleep(10.0)
        else:
            try:
                await peerlink.open_handshake(opener, OPENER, 5, bytes(16))
            except peerlink.PeerNotAuthenticError:
                refusing_sides.append("opener")
        opened.close()


@behave.when('a daemon is connected to "{peer}"')
def connect_to_peer(context: runner.Context, peer: str) -> None:
    context.refusing_sides = []
    harness.run_on_virtual_clock(
        lambda: _run_faulty_handshake(peer, context.refusing_sides)
    )


@behave.then('the "{side}" refuses the handshake')
def check_refusal(context: runner.Context, side: str) -> None:
    assert context.refusing_sides == [side], context.refusing_sides


CHANGED_BYTE_INDEXES = {
    "changed in its kind": 4,
    "changed in its head": 10,
    "changed in its body": 14,
    "changed in its tag": -1,
}


@behave.when('a frame is "{change}" in transit')
def change_frame(context: runner.Context, change: str) -> None:
    context.is_failed = False

    async def test(
        opener: peerlink.FrameChannel, acceptor: peerlink.FrameChannel
    ) -> None:
        kind = peerlink.FrameKind.CALL
        first = opener._encode(kind, b"head", b"body")
        second = opener._encode(kind, b"head", b"body")
        if change in CHANGED_BYTE_INDEXES:
            damaged = bytearray(first)
            damaged[CHANGED_BYTE_INDEXES[change]] ^= 4
            await opener.connection.send(bytes(damaged))
        elif change == "replayed":
            await opener.connection.send(first + first)
            await acceptor.receive()
        else:
            await opener.connection.send(second)
        try:
            await acceptor.receive()
        except peerlink.FrameError:
            context.is_failed = True

    harness.run_on_virtual_clock(lambda: _run_with_link(test))


@behave.then("receiving it fails")
def check_failed(context: runner.Context) -> None:
    assert context.is_failed


@behave.when("the peer sends an unsolicited frame")
def send_unsolicited(context: runner.Context) -> None:
    async def test(
        opener: peerlink.FrameChannel, acceptor: peerlink.FrameChannel
    ) -> None:
        peer = peerlink.PeerAddress(harness.find_free_address(), 22)
        link = peerlink.PeerLink(opener, peer, 5)
        context.reusable_before = link.is_reusable()
        await acceptor.send(peerlink.FrameKind.KEEPALIVE)
        context.reusable_after = link.is_reusable()

    harness.run_on_virtual_clock(lambda: _run_with_link(test))


@behave.then("the link is not reusable")
def check_not_reusable(context: runner.Context) -> None:
    assert context.reusable_before and not context.reusable_after
