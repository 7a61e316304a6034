"""The gateway: routes calls by host and path to servers that register."""
