"""Tests of the request classes."""
