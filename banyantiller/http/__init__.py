"""HTTP/1.1 over asyncio streams with h11, for control traffic.

The data path doesn't use this package; see `banyantiller.proxy`.
"""
