"""The demonstration: a whole fleet under load, checked by its servers."""
