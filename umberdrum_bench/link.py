"""Link stand-in: a TCP and UDP proxy in front of a daemon that injects network faults.

On SIGUSR1 it permanently drops the traffic of all TCP connections that are open at that
time: it reads and discards bytes in both directions and forwards no close. New
connections are forwarded as usual.
"""

import argparse
import random
import signal
import socket
import sys
from collections.abc import Sequence

import trio

from umberdrum import settings, sockets

MAX_CONNECTIONS = 1000
MAX_DATAGRAM_BYTES = 65_536


class LinkProxy:
    """Proxy between its own address and that of one daemon or store.

    Datagrams from ``blocked_hosts`` are dropped. ``delay_seconds`` delays the bytes of
    connections in each direction. While ``is_refusing`` is set, new connections are
    closed immediately. Each datagram in either direction is lost with the probability
    ``datagram_loss``, as ``rng`` draws.
    """

    def __init__(self, listen: settings.Address, target: settings.Address) -> None:
        self._listen = listen
        self._target = target
        self._generation = 0
        self._inbound_open = trio.Event()
        self._inbound_open.set()
        self._outbound_open = trio.Event()
        self._outbound_open.set()
        self._open_connections: set[sockets.Connection] = set()
        self.delay_seconds = 0.0
        self.is_refusing = False
        self.blocked_hosts: frozenset[str] = frozenset()
        self.datagram_loss = 0.0
        self.rng = random.Random(0)
        self._udp_clients: dict[settings.Address, trio.socket.SocketType] = {}

    @property
    def address(self) -> settings.Address:
        """Address at which this proxy listens."""
        return self._listen

    def silence(self) -> None:
        """Drop all further traffic of the connections that are open now."""
        self._generation += 1

    def reset(self) -> None:
        """Close all open connections on both sides."""
        for connection in list(self._open_connections):
            connection.close()

    def pause(self, inbound: bool = True, outbound: bool = True) -> None:
        """Stop forwarding in the given directions until ``resume``.

        Bytes of connections are delayed, as if TCP retransmitted them; datagrams are
        dropped. ``inbound`` is the direction towards the target.
        """
        if inbound:
            self._inbound_open = trio.Event()
        if outbound:
            self._outbound_open = trio.Event()

    def resume(self) -> None:
        """Forward again in both directions, starting with the delayed bytes."""
        self._inbound_open.set()
        self._outbound_open.set()

    async def serve(self, connection: sockets.Connection) -> None:
        """Forward one connection until either side closes."""
        if self.is_refusing:
            return
        generation = self._generation
        target = await sockets.connect(self._target, 1.0)
        pair = {connection, target}
        self._open_connections |= pair
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(
                    self._forward_bytes, connection, target, generation, scope, True
                )
                nursery.start_soon(
                    self._forward_bytes, target, connection, generation, scope, False
                )
        finally:
            self._open_connections -= pair
            target.close()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward connections and datagrams until cancelled."""
        listener = sockets.bind_tcp(self._listen)
        server = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await server.bind((self._listen.host, self._listen.port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward_datagrams, server)
            nursery.start_soon(
                sockets.accept_connections, listener, self.serve, MAX_CONNECTIONS
            )
            task_status.started()

    async def _forward_datagrams(self, server: trio.socket.SocketType) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                data, sender = await server.recvfrom(MAX_DATAGRAM_BYTES)
                if not self._inbound_open.is_set() or sender[0] in self.blocked_hosts:
                    continue
                if self._is_datagram_lost():
                    continue
                address = settings.Address(*sender)
                client = self._udp_clients.get(address)
                if client is None:
                    client = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    await client.bind((self._listen.host, 0))
                    self._udp_clients[address] = client
                    nursery.start_soon(self._return_datagrams, client, server, address)
                await client.sendto(data, (self._target.host, self._target.port))

    async def _return_datagrams(
        self,
        client: trio.socket.SocketType,
        server: trio.socket.SocketType,
        address: settings.Address,
    ) -> None:
        while True:
            data = await client.recv(MAX_DATAGRAM_BYTES)
            if self._outbound_open.is_set() and not self._is_datagram_lost():
                await server.sendto(data, (address.host, address.port))

    def _is_datagram_lost(self) -> bool:
        return self.rng.random() < self.datagram_loss

    async def _forward_bytes(
        self,
        source: sockets.Connection,
        sink: sockets.Connection,
        generation: int,
        scope: trio.CancelScope,
        is_inbound: bool,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                if self.delay_seconds:
                    await trio.sleep(self.delay_seconds)
                await (self._inbound_open if is_inbound else self._outbound_open).wait()
                if generation != self._generation:
                    # The close is dropped as well.
                    if not data:
                        await trio.sleep_forever()
                    continue
                if not data:
                    break
                await sink.send(data)
        except sockets.ConnectionLostError:
            if generation != self._generation:
                await trio.sleep_forever()
        scope.cancel()


async def run_link(listen: settings.Address, target: settings.Address) -> None:
    """Run the proxy until cancelled; SIGUSR1 silences the open connections."""
    link = LinkProxy(listen, target)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        with trio.open_signal_receiver(signal.SIGUSR1) as received:
            async for _ in received:
                link.silence()


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run the link stand-in as a process."""
    parser = argparse.ArgumentParser(prog="umberdrum-link-standin")
    parser.add_argument("--listen", required=True, type=settings.parse_address)
    parser.add_argument("--target", required=True, type=settings.parse_address)
    options = parser.parse_args(arguments)
    trio.run(run_link, options.listen, options.target)
    return 0


if __name__ == "__main__":
    sys.exit(run_program())
