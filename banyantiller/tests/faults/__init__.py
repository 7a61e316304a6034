"""Random faults over several real parts on the paused clock."""
