"""Measurements: each module is run as `python -m bench.NAME`."""
