"""Strategies that damage valid input."""

from hypothesis import strategies as st

MOST_EDITS = 5


def edited(data, edits):
    """Applies edits: each replaces some bytes at a place by others."""
    for place, length, new in edits:
        at = place % (len(data) + 1)
        data = data[:at] + new + data[at + length :]
    return data


def mutated(samples, tokens=()):
    """Returns bytes that come from one of the samples by a few edits.

    Args:
        samples: Valid inputs.
        tokens: Byte strings that mean something to the parser.
    """
    new = st.one_of(st.binary(max_size=4), st.sampled_from((b"", *tokens)))
    edit = st.tuples(
        st.integers(0, 1 << 16), st.sampled_from((0, 0, 1, 2, 9)), new
    )
    edits = st.lists(edit, max_size=MOST_EDITS)
    return st.builds(edited, st.sampled_from(samples), edits)


def mutated_text(samples, tokens=()):
    """Returns text that comes from one of the samples by a few edits."""
    return mutated(
        tuple(sample.encode() for sample in samples),
        tuple(token.encode() for token in tokens),
    ).map(lambda data: data.decode("utf-8", "replace"))
