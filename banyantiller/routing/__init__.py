"""Routing decisions: pure functions and state without sockets."""
