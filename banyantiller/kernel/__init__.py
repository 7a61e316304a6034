"""The kernel: supervised tasks and delivery of typed events."""
