"""Utilities that several packages share."""
