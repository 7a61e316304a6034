"""The platform's VM list: one narrow interface and its adapters."""
