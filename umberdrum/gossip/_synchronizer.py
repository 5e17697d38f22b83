"""Full synchronisation (anti-entropy) of two daemons over a peer link."""

from typing import NamedTuple

from google.protobuf import message as protobuf_message

from umberdrum import classes, crashes, membership, peerlink, sockets, wire
from umberdrum.gossip import _entry_codec, _state

SYNC_REPLY_TIMEOUT_SECONDS = 2.0


class SyncResult(NamedTuple):
    """Whether a synchronisation completed, and how many records it changed here."""

    is_completed: bool
    n_newer_records: int


class PeerSynchronizer:
    """Exchanges records and documents with a peer where their digests differ.

    Synchronisations take place when a daemon joins, when a peer advertises a newer
    document and, rarely, when updates were lost. Only buckets with different digests
    and documents of which the other side has an older state are sent. The answering
    side fetches what it lacks in a synchronisation of its own.
    """

    def __init__(self, state: _state.SharedState, pool: peerlink.PeerLinkPool) -> None:
        self._state = state
        self._pool = pool
        self.n_syncs = 0
        self.n_bytes = 0

    async def sync_with(
        self, peer: peerlink.PeerAddress, now: float, needs_new_link: bool = False
    ) -> SyncResult:
        """Synchronise with ``peer``, over a kept link unless a new one is needed.

        A link failure or timeout is not raised; the result is then not completed.
        """
        open_link = self._pool.open if needs_new_link else self._pool.acquire
        try:
            link = await open_link(peer)
        except (sockets.ConnectionLostError, peerlink.PeerNotAuthenticError):
            return SyncResult(False, 0)
        reply: wire.messages.SyncReply | None = None
        try:
            reply = await self._exchange(link)
        except (sockets.ConnectionLostError, peerlink.FrameError):
            return SyncResult(False, 0)
        finally:
            if reply is None:
                link.close()
            else:
                self._pool.release(link)
        if reply is None:
            return SyncResult(False, 0)
        self.n_syncs += 1
        n_newer = self._state.merge_records(reply.records, now, is_disseminated=False)
        self._state.merge_entry_messages(reply.classes)
        self._state.merge_crash_marks(reply.crash_marks, now)
        return SyncResult(True, n_newer)

    async def _exchange(
        self, link: peerlink.PeerLink
    ) -> wire.messages.SyncReply | None:
        request = wire.messages.SyncRequest(
            bucket_digests=self._state.table.bucket_digests,
            catalog_digest=self._state.catalog.digest,
            records=[membership.encode_record(self._state.table.own)],
            classes=[
                _entry_codec.encode_stub(row) for row in self._state.catalog.entries
            ],
        )
        encoded = request.SerializeToString()
        await link.channel.send(peerlink.FrameKind.SYNC_REQUEST, encoded)
        frame = await link.channel.receive_within(SYNC_REPLY_TIMEOUT_SECONDS)
        if frame is None or frame.kind is not peerlink.FrameKind.SYNC_REPLY:
            return None
        self.n_bytes += len(encoded) + len(frame.head)
        return _parse_reply(frame)

    def answer_sync(
        self, request: wire.messages.SyncRequest, now: float
    ) -> wire.messages.SyncReply:
        """Merge the content of a request and return what its sender lacks."""
        reply = wire.messages.SyncReply()
        table = self._state.table
        peer_digests = list(request.bucket_digests)
        for bucket, digest in enumerate(table.bucket_digests):
            if bucket < len(peer_digests) and peer_digests[bucket] == digest:
                continue
            for record in table.list_bucket(bucket):
                reply.records.append(membership.encode_record(record))
        if request.catalog_digest != self._state.catalog.digest:
            peer_positions = {
                row.name: _entry_codec.decode_position(row) for row in request.classes
            }
            for entry in self._state.catalog.entries:
                peer_position = peer_positions.get(entry.name, classes.NO_POSITION)
                if entry.position > peer_position:
                    reply.classes.append(_entry_codec.encode_entry(entry))
        for mark in self._state.crashes.list_marks(now):
            reply.crash_marks.append(crashes.encode_mark(mark))
        self._state.merge_records(request.records, now)
        self._state.merge_entry_messages(request.classes)
        return reply


def _parse_reply(frame: peerlink.Frame) -> wire.messages.SyncReply:
    try:
        return wire.messages.SyncReply.FromString(frame.head)
    except protobuf_message.DecodeError as fault:
        raise peerlink.FrameError(f"invalid sync reply: {fault}") from None
