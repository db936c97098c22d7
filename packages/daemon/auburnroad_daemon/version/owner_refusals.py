"""Errors with which the owner of a trainer refuses a request."""

import enum


class Refusal(enum.StrEnum):
    """Error codes of refused trainer requests."""

    UNKNOWN_STEP = 'unknown_step'
    NOT_READY = 'step_not_ready'
    CONTENTS_LOST = 'sealed_contents_lost'
    STALE = 'sealed_step_stale'
    WRONG_GENERATION = 'wrong_generation'
    GROUP_DIFFERS = 'group_differs'
    VERSION_WENT_BACK = 'version_went_back'
    LOG_UNAVAILABLE = 'log_unavailable'
    NOT_OWNER = 'not_owner'
    ALREADY_TAKEN = 'step_already_taken'


class RefusedError(Exception):
    """Refusal of a trainer's request, with an error code for the trainer."""

    def __init__(self, refusal: Refusal, message: str):
        super().__init__(message)
        self.refusal = refusal
