"""Tests of the object store."""
