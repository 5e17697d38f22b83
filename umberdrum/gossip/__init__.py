"""Spread of membership and configuration between daemons over UDP."""

from umberdrum.gossip._budget import ControlBudget
from umberdrum.gossip._datagram import MAX_DATAGRAM_BYTES, DatagramCodec
from umberdrum.gossip._exchange import GossipExchange
from umberdrum.gossip._news import NewsQueue
from umberdrum.gossip._state import SharedState
from umberdrum.gossip._synchronizer import PeerSynchronizer

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ControlBudget",
    "DatagramCodec",
    "GossipExchange",
    "NewsQueue",
    "PeerSynchronizer",
    "SharedState",
]
