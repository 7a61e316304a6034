"""HTTP/1.1 over asyncio streams with h11, for both sides."""
