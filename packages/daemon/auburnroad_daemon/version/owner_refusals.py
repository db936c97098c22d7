"""Why the owner of a trainer refuses a request, as typed errors."""

import enum


class Refusal(enum.StrEnum):
    """Why a trainer's request can't be met now."""

    UNKNOWN_STEP = 'unknown_step'
    NOT_READY = 'step_not_ready'
    CONTENTS_LOST = 'sealed_contents_lost'
    STALE = 'sealed_step_stale'
    GENERATION = 'wrong_generation'
    GROUP_DIFFERS = 'group_differs'
    VERSION_BACK = 'version_went_back'
    LOG_UNAVAILABLE = 'log_unavailable'
    NOT_OWNER = 'not_owner'
    ALREADY_TAKEN = 'step_already_taken'


class RefusedError(Exception):
    """A trainer's request that is refused, for a reason it can act on."""

    def __init__(self, refusal: Refusal, message: str):
        super().__init__(message)
        self.refusal = refusal
