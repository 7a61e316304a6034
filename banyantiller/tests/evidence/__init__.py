"""Tests of the evidence."""
