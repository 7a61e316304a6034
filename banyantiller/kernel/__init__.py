"""The kernel: supervised tasks, mailboxes and named events."""
