"""Stand-ins for the systems around umberdrum, the demo and the benchmarks.

A stand-in is a small server that replaces a real system (store, upstream or network
link) and can inject faults. This package is not part of the library: nothing in
``umberdrum`` imports it outside of tests.
"""
