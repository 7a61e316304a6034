"""Tests of explanations from logs."""
