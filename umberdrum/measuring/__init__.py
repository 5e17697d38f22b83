"""Budget for everything that is spent on seeing load."""

from umberdrum.measuring._budget import MeasuringBudget, MeasuringUse

__all__ = ["MeasuringBudget", "MeasuringUse"]
