"""Announcements: how an upstream tells the daemon beside it that it is there."""

from umberdrum.announcements._desk import AnnouncementDesk
from umberdrum.announcements._document import parse_announcement
from umberdrum.announcements._listener import EndpointListener

__all__ = ["AnnouncementDesk", "EndpointListener", "parse_announcement"]
