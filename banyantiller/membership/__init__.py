"""Daemons that know of each other, and their messages."""
