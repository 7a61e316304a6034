"""Interface to the object API and its adapters."""
