"""Tests of the explanation of requests from logs."""
