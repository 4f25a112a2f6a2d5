"""Exceptions raised by the core; each message names the value in question."""


class FescuequayError(Exception):
    """Base class of all exceptions of this project."""


class TextError(FescuequayError):
    """Raised when bytes are not JSON with comments.

    :param message: Description of the fault.
    :param line: Line number from 1.
    """

    def __init__(self, message: str, line: int) -> None:
        super().__init__(message)
        self.line = line


class TokenError(FescuequayError):
    """Raised when a session token is malformed or not signed by this fleet."""


class MessageError(FescuequayError):
    """Raised when a message of a peer or a row of the platform cannot be decoded."""
