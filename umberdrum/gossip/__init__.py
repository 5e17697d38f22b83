"""Spread of membership and configuration between daemons over UDP."""

from umberdrum.gossip._budget import ControlBudget
from umberdrum.gossip._convert import decode_entry, encode_entry
from umberdrum.gossip._datagram import MAX_DATAGRAM_BYTES, DatagramCodec
from umberdrum.gossip._exchange import GossipExchange
from umberdrum.gossip._fetch_choice import FetchChoice
from umberdrum.gossip._news import NewsQueue
from umberdrum.gossip._state import SharedState
from umberdrum.gossip._sync_schedule import SyncSchedule
from umberdrum.gossip._synchronizer import PeerSynchronizer, SyncResult

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ControlBudget",
    "DatagramCodec",
    "FetchChoice",
    "GossipExchange",
    "NewsQueue",
    "PeerSynchronizer",
    "SharedState",
    "SyncResult",
    "SyncSchedule",
    "decode_entry",
    "encode_entry",
]
