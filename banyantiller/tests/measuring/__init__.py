"""Tests of the measuring budget."""
