"""Interface to the platform's VM list and its adapters."""
