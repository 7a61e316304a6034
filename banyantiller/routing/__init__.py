"""Routing decisions: pure functions and state machines without sockets."""
