"""Requests that end each server which runs them, and who must not get them."""
