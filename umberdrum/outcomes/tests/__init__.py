"""Tests of the outcome record."""
