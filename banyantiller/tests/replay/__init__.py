"""Tests of traces and of their replay."""
