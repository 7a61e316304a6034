"""The data path between callers and backend servers."""
