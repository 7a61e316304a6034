"""The gateway: routes calls by host and path to registered servers."""
