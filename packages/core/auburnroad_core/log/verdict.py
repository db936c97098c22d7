"""What a fold says about one record, the same to every reader."""

import enum


class Verdict(enum.StrEnum):
    """Effect of a record on the state folded from all earlier offsets.

    EFFECTIVE changed the state; CONFLICT lost against an earlier record;
    DUPLICATE is a further copy of a record; INVALID can't be read, or breaks
    a rule that no order of records could mend.
    """

    EFFECTIVE = 'effective'
    CONFLICT = 'conflict'
    DUPLICATE = 'duplicate'
    INVALID = 'invalid'
