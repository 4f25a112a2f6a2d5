"""Errors that the core raises; each message is a sentence with the value in question."""


class FescuequayError(Exception):
    """Base of every error of this project."""


class TextError(FescuequayError):
    """The bytes are not JSON with comments.

    :param message: What is wrong.
    :param line: Line number from 1.
    """

    def __init__(self, message: str, line: int) -> None:
        super().__init__(message)
        self.line = line


class TokenError(FescuequayError):
    """A session token was not made by this fleet or is damaged."""


class MessageError(FescuequayError):
    """A message of a peer or a row of the platform does not decode."""
