"""Tests of `banyantiller.membership`."""
