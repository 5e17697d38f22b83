"""Announcements, by which an upstream registers with the daemon next to it.

The upstream repeats them as a heartbeat.
"""

from umberdrum.announcements._document import parse_announcement
from umberdrum.announcements._listener import UpstreamStateListener
from umberdrum.announcements._tracker import AnnouncementTracker

__all__ = ["AnnouncementTracker", "UpstreamStateListener", "parse_announcement"]
