"""Tests of error kinds and responses."""
