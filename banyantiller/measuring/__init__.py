"""The budget for probes, shared by the whole fleet."""
