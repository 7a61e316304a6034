"""The daemon: assembly of the parts and its life cycle."""
