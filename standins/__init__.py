"""Stand-ins for outside systems, started as plain processes."""
