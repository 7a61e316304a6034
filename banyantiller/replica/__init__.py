"""Replicates the accepted bundle to a daemon and puts it in force."""
