"""Stand-ins of the systems that umberdrum serves, with the demo and the bench.

This package is no part of the library: nothing in ``umberdrum`` imports it.
"""
