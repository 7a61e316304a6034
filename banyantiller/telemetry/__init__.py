"""Logs, metrics and the admin listener."""
