"""Quarantine of requests that crash each server which runs them."""
