"""The object API: one narrow interface and its adapters."""
