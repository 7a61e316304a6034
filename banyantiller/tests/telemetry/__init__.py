"""Tests of logs, metrics and the admin listener."""
