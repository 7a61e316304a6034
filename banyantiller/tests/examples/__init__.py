"""Tests of the examples."""
