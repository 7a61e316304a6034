"""Backend servers that are leaving and must get no new requests."""
