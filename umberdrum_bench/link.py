"""Link stand-in: forwards TCP and UDP to a daemon and can make open connections silent.

SIGUSR1 makes every TCP connection that is open at that moment silent for good: bytes
are taken and dropped in both directions and nothing is closed. New connections work.
"""

import argparse
import signal
import socket
import sys
from collections.abc import Sequence

import trio

from umberdrum import settings, sockets

MAX_CONNECTIONS = 1000
MAX_DATAGRAM_BYTES = 65_536


class LinkStandIn:
    """Forwards between its own address and that of one daemon.

    Datagrams that come from one of ``blocked_hosts`` are dropped.
    """

    def __init__(self, listen: settings.Address, target: settings.Address) -> None:
        self._listen = listen
        self._target = target
        self._generation = 0
        self._resumed = trio.Event()
        self._resumed.set()
        self.blocked_hosts: frozenset[str] = frozenset()
        self._udp_clients: dict[settings.Address, trio.socket.SocketType] = {}

    def silence(self) -> None:
        """Drop from now on what open connections carry."""
        self._generation += 1

    def pause(self) -> None:
        """Hold everything back until ``resume``, as if the daemon were paused."""
        self._resumed = trio.Event()

    def resume(self) -> None:
        """Pass everything on again, what was held back on connections first."""
        self._resumed.set()

    async def serve(self, connection: sockets.Connection) -> None:
        """Forward one connection until either side closes."""
        generation = self._generation
        target = await sockets.connect(self._target, 1.0)
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, connection, target, generation, scope)
                nursery.start_soon(self._pump, target, connection, generation, scope)
        finally:
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
                if not self._resumed.is_set() or sender[0] in self.blocked_hosts:
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
            await server.sendto(data, (address.host, address.port))

    async def _pump(
        self,
        source: sockets.Connection,
        sink: sockets.Connection,
        generation: int,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                await self._resumed.wait()
                if generation != self._generation:
                    # A close is lost on the way too.
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
    """Forward until cancelled."""
    link = LinkStandIn(listen, target)
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
