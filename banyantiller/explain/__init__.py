"""Tells from the logs of many daemons what became of a request."""
