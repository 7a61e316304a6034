"""Tests of `banyantiller.utils`."""
