"""Claims of idempotency keys in the object API."""
