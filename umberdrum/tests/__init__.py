"""Tests of whole daemons, and the test helpers that all packages share."""
