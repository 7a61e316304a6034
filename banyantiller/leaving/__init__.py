"""Backend servers that are leaving and must get nothing new."""
