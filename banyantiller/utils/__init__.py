"""What several parts share and none of them owns."""
