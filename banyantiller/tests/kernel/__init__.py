"""Tests of the kernel."""
