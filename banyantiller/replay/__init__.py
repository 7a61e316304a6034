"""Recorded traces, and their replay against the real decision code."""
