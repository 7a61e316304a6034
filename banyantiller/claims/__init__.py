"""Claims on idempotency keys, stored in the object API."""
