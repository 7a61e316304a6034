"""The daemon: construction from its components, and its life cycle."""
