"""Gossip protocol that disseminates membership and configuration over UDP."""

from umberdrum.gossip._change_reminders import ChangeReminders
from umberdrum.gossip._contact_sign import NO_SIGN, ContactSign
from umberdrum.gossip._datagram import MAX_DATAGRAM_BYTES, DatagramCodec
from umberdrum.gossip._entry_codec import decode_entry, encode_entry
from umberdrum.gossip._exchange import GossipExchange
from umberdrum.gossip._fetch_selector import FetchPeerSelector
from umberdrum.gossip._peer_selector import PeerSelector
from umberdrum.gossip._state import SharedState, VersionReader
from umberdrum.gossip._sync_schedule import SyncSchedule
from umberdrum.gossip._synchronizer import PeerSynchronizer, SyncResult
from umberdrum.gossip._token_bucket import GossipTokenBucket
from umberdrum.gossip._update_queue import UpdateQueue

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "NO_SIGN",
    "ChangeReminders",
    "ContactSign",
    "DatagramCodec",
    "FetchPeerSelector",
    "GossipExchange",
    "GossipTokenBucket",
    "PeerSelector",
    "PeerSynchronizer",
    "SharedState",
    "SyncResult",
    "SyncSchedule",
    "UpdateQueue",
    "VersionReader",
    "decode_entry",
    "encode_entry",
]
