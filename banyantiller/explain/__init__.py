"""Explains the outcome of a request from the logs of many daemons."""
