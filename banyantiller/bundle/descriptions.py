"""Messages for outcomes other than success."""

from banyantiller.bundle.outcomes import (
    DamagedObject,
    Lost,
    NotFound,
    NotKnown,
    NotReached,
    OutOfDate,
    Refused,
)

FailureOutcome = (
    Lost
    | OutOfDate
    | Refused
    | NotFound
    | DamagedObject
    | NotReached
    | NotKnown
)


def describe(outcome: FailureOutcome) -> str:
    """Returns one or more sentences that explain a failed operation."""
    match outcome:
        case NotFound(what):
            return f"There is no {what}."
        case DamagedObject(reason):
            return reason
        case Lost(winner, version, digest):
            return (
                f"Operator '{winner}' was first: version {version}"
                f" ({digest[:12]}) is in force. Propose the change again."
            )
        case OutOfDate(roller, version, digest):
            return (
                f"The proposal is out of date: version {version}"
                f" ({digest[:12] or 'none'}) of '{roller}' is in force."
                " Propose the change again."
            )
        case Refused(reasons):
            return " ".join(reasons)
        case NotReached(reason):
            return f"Nothing was changed; the object API failed: {reason}."
        case NotKnown(reason):
            return (
                "It is not known whether the write took effect:"
                f" {reason}. Run the same command again to find out."
            )
