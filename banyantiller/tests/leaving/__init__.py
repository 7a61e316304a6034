"""Tests of leaving servers."""
