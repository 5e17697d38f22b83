"""Tests of the tasks of a daemon."""
