"""Tests of the daemon as a whole, and what the tests of all parts share."""
