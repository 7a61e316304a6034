"""Random faults around real gateway processes, with checks of the promises."""
