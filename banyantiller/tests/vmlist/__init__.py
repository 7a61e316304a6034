"""Tests of the VM list."""
