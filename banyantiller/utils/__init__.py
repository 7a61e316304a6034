"""Small helpers that no single part owns."""
