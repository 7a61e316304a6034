"""Tests of HTTP for control traffic."""
