"""Bundles: options, canonical parts, manifests and signatures."""
