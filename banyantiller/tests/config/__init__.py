"""Tests of settings and their loading."""
