"""Fleet membership: failure detection, gossip, and messages between peers."""
