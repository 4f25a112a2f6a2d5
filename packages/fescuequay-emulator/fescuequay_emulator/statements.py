"""Texts of simulated statements."""

from fescuequay_core.relay.model import Statement, StatementKind


def parse(text: str) -> Statement:
    """:returns: The statement of a text. :raises ValueError: It is none."""
    word, _, rest = text.partition(' ')
    name, _, arguments = rest.partition(' ')
    kind = StatementKind(word.lower())
    if kind is StatementKind.EXECUTE:
        return Statement(kind, text, name=name, arguments=arguments)
    return Statement(kind, text, is_write=kind is StatementKind.WRITE)
