"""Tests of the specifications and of the code against them."""
