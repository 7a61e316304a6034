"""The kernel: supervised tasks and typed events."""
