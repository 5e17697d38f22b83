"""Tests of the server for the control addresses."""
