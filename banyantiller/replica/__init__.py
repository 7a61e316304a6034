"""The accepted bundle that a daemon holds."""
