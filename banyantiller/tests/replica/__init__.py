"""Tests of `banyantiller.replica`."""
