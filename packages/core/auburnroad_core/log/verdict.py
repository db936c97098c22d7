"""The verdict of a fold on one record, identical for every reader."""

import enum


class Verdict(enum.StrEnum):
    """Effect of a record on the state folded from all earlier offsets.

    EFFECTIVE: the record changed the state. CONFLICT: an earlier record
    prevented it. DUPLICATE: the record is a copy of an earlier one. INVALID:
    the record can't be decoded, or breaks a rule whatever the order of
    records.
    """

    EFFECTIVE = 'effective'
    CONFLICT = 'conflict'
    DUPLICATE = 'duplicate'
    INVALID = 'invalid'
