"""Limit on the bytes that daemons send to measure load."""

from umberdrum.measuring._budget import MeasuringBudget, MeasuringUse

__all__ = ["MeasuringBudget", "MeasuringUse"]
