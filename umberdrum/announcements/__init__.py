"""Announcements: how an upstream tells the daemon beside it that it is there."""

from umberdrum.announcements._document import parse_announcement
from umberdrum.announcements._listener import UpstreamStateListener
from umberdrum.announcements._tracker import AnnouncementTracker

__all__ = ["AnnouncementTracker", "UpstreamStateListener", "parse_announcement"]
