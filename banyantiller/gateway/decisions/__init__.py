"""Decisions about requests, free of sockets and tasks."""
