"""Tests of the supervision of tasks."""
