"""Tests of the data path."""
