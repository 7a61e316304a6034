"""Tests of the gateway's decisions."""
