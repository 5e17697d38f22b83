"""Tests of the announcements."""
