"""Availability zones that operators take out of service, and return to it."""

from umberdrum.zones._drains import ZoneDrains

__all__ = ["ZoneDrains"]
