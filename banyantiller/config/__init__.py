"""Settings: typed options, loading and validation."""
