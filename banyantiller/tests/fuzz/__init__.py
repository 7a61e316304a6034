"""Random input at every edge: no crash, no hang, always a listed error."""
