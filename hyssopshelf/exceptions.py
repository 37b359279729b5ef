"""Error kinds of answers, what each means to a caller, and the exceptions."""

import enum

import attrs


class ErrorKind(enum.Enum):
    """Kinds of error that an answer can carry; the list is closed."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REFUSED = "refused"
    STALE_TOKEN = "stale_token"
    BAD_TOKEN = "bad_token"
    CONFLICT = "conflict"
    BAD_REQUEST = "bad_request"
    DEADLINE_PASSED = "deadline_passed"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    INTERNAL = "internal"
    ABORTED = "aborted"
    BEHIND = "behind"
    NOT_PRIMARY = "not_primary"
    WRONG_ENDPOINT = "wrong_endpoint"
    FULL = "full"
    FAILED = "failed"
    UNPREPARED = "unprepared"
    UNKNOWN_KEY = "unknown_key"
    LIMIT_REACHED = "limit_reached"


class Ran(enum.Enum):
    """Whether the statement behind an answer ran at an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Disposition:
    """Consequences of an error kind for a caller.

    Attributes
    ----------
    http_status : int
        Status code of the HTTP answer.
    ran : Ran
        Whether the statement ran.
    repeatable : bool
        Whether the caller may retry the same request unchanged.
    """

    http_status: int
    ran: Ran
    repeatable: bool


DISPOSITIONS: dict[ErrorKind, Disposition] = {
    ErrorKind.NOT_RUN: Disposition(http_status=503, ran=Ran.NO, repeatable=True),
    ErrorKind.OUTCOME_UNKNOWN: Disposition(
        http_status=504, ran=Ran.UNKNOWN, repeatable=False
    ),
    ErrorKind.REFUSED: Disposition(http_status=429, ran=Ran.NO, repeatable=True),
    ErrorKind.STALE_TOKEN: Disposition(http_status=410, ran=Ran.NO, repeatable=False),
    ErrorKind.BAD_TOKEN: Disposition(http_status=401, ran=Ran.NO, repeatable=False),
    ErrorKind.CONFLICT: Disposition(http_status=409, ran=Ran.NO, repeatable=False),
    ErrorKind.BAD_REQUEST: Disposition(http_status=400, ran=Ran.NO, repeatable=False),
    ErrorKind.DEADLINE_PASSED: Disposition(
        http_status=408, ran=Ran.NO, repeatable=False
    ),
    ErrorKind.NOT_FOUND: Disposition(http_status=404, ran=Ran.NO, repeatable=False),
    ErrorKind.UNAVAILABLE: Disposition(http_status=503, ran=Ran.NO, repeatable=True),
    ErrorKind.INTERNAL: Disposition(http_status=500, ran=Ran.UNKNOWN, repeatable=False),
    ErrorKind.ABORTED: Disposition(http_status=409, ran=Ran.NO, repeatable=True),
    ErrorKind.BEHIND: Disposition(http_status=503, ran=Ran.NO, repeatable=True),
    ErrorKind.NOT_PRIMARY: Disposition(http_status=503, ran=Ran.NO, repeatable=True),
    ErrorKind.WRONG_ENDPOINT: Disposition(http_status=503, ran=Ran.NO, repeatable=True),
    ErrorKind.FULL: Disposition(http_status=503, ran=Ran.NO, repeatable=True),
    ErrorKind.FAILED: Disposition(http_status=500, ran=Ran.UNKNOWN, repeatable=False),
    ErrorKind.UNPREPARED: Disposition(http_status=400, ran=Ran.NO, repeatable=False),
    ErrorKind.UNKNOWN_KEY: Disposition(http_status=401, ran=Ran.NO, repeatable=False),
    ErrorKind.LIMIT_REACHED: Disposition(http_status=429, ran=Ran.NO, repeatable=True),
}


class HyssopshelfError(Exception):
    """Base class of the exceptions that this package raises."""


class SettingError(HyssopshelfError):
    """A setting is unknown or has a value that is not allowed."""


class InvariantError(HyssopshelfError):
    """An invariant of the core is violated; the statement must not continue."""


class CodecError(HyssopshelfError):
    """A message cannot be decoded."""


class TokenError(HyssopshelfError):
    """A session token is truncated, forged or signed with an unknown key."""


class ValidationError(HyssopshelfError):
    """A declared resource violates a validation rule.

    Parameters
    ----------
    field : str
        Path of the field, such as ``spec.capacity.steyrtal``.
    rule : str
        Rule that the value violates.
    """

    def __init__(self, field: str, rule: str) -> None:
        super().__init__(f"{field}: {rule}")
        self.field = field
        self.rule = rule


class AnswerError(HyssopshelfError):
    """A request ended with an error answer.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    message : str
        Explanation for the caller.
    retry_after_seconds : float
        Time after which a retry may succeed; 0 if unknown.
    """

    def __init__(
        self, kind: ErrorKind, message: str = "", retry_after_seconds: float = 0.0
    ) -> None:
        super().__init__(f"{kind.value}: {message}")
        self.kind = kind
        self.message = message
        self.retry_after_seconds = retry_after_seconds

    @property
    def disposition(self) -> Disposition:
        """Return the consequences of the error for a caller."""
        return DISPOSITIONS[self.kind]
