"""Tests that run the examples."""
