"""Routes that an operator publishes as one versioned table."""

from umberdrum.routetable._route import CallerBounds, Route, ServiceShare
from umberdrum.routetable._source import RouteTableReader, RouteTableSource
from umberdrum.routetable._table import RouteTable, check_table

__all__ = [
    "CallerBounds",
    "Route",
    "RouteTable",
    "RouteTableReader",
    "RouteTableSource",
    "ServiceShare",
    "check_table",
]
