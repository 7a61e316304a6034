"""Limits on the parts of a message."""

# Parts of messages that one connection parses, which takes up to 1 ms, before
# other tasks run. A message may consist of any number of tiny parts.
PARTS_PER_STEP = 64
