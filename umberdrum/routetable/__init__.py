"""Versioned table of the routes that an operator publishes."""

from umberdrum.routetable._route import CallerBounds, Route, ServiceShare
from umberdrum.routetable._source import RouteTableDecoder, RouteTableSource
from umberdrum.routetable._table import RouteTable, build_table

__all__ = [
    "CallerBounds",
    "Route",
    "RouteTable",
    "RouteTableDecoder",
    "RouteTableSource",
    "ServiceShare",
    "build_table",
]
