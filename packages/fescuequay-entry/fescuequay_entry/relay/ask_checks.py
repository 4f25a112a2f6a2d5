"""What a gateway requires of a request before anything of it is sent to a target."""

from typing import Final

from fescuequay_core.relay import refusals
from fescuequay_core.relay.fields import is_line, is_name
from fescuequay_core.relay.model import StatementKind
from fescuequay_core.relay.refusals import Refused
from fescuequay_entry.relay.board import log_event
from fescuequay_entry.relay.hop_frames import Ask, Step
from fescuequay_entry.relay.ports import StatementParser

_SINGLE_KINDS: Final = frozenset((StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE))

_KINDS_BY_STEP: Final = {
    Step.SINGLE: _SINGLE_KINDS,
    Step.IN_TRANSACTION: _SINGLE_KINDS | {StatementKind.COMMIT},
    Step.BEGIN_WRITE: frozenset((StatementKind.BEGIN,)),
    Step.BEGIN_READ: frozenset((StatementKind.BEGIN,)),
    Step.ROLLBACK: frozenset((StatementKind.ROLLBACK,)),
}

#: Steps that run a caller's statement; the others carry no text.
_STEPS_WITH_TEXT: Final = frozenset((Step.SINGLE, Step.IN_TRANSACTION))

#: Id of the requests of the system itself.
_INTERNAL_REQUEST: Final = '-'


def require_sound(ask: Ask, parse: StatementParser) -> None:
    """Refuse a request whose texts are no fields of messages, or whose kind is not that of its text.

    :param ask: The request.
    :param parse: Parses the text of a statement.
    :raises Refused: It is malformed; nothing of it was sent.
    """
    fault = _fault_of(ask, parse)
    if fault is None:
        return
    log_event(
        'bad_gateway_request',
        request=ask.request,
        organisation=ask.organisation,
        target=ask.target,
        step=ask.step.name.lower(),
        kind=ask.kind.value,
        detail=fault,
    )
    raise Refused(refusals.MALFORMED, f'a gateway refused the request: {fault}')


def is_write(ask: Ask) -> bool:
    """:returns: Whether a statement writes by itself."""
    return ask.kind is StatementKind.WRITE or (ask.shape is not None and ask.shape[1])


def _fault_of(ask: Ask, parse: StatementParser) -> str | None:
    if ask.kind not in _KINDS_BY_STEP[ask.step]:
        return 'the kind is not one of the step'
    if not is_name(ask.organisation):
        return 'the organisation is no name'
    if not all(is_name(name) and is_line(content) for name, content in ask.values.items()):
        return 'a session value would end its message early'
    if ask.step in _STEPS_WITH_TEXT:
        return _statement_fault_of(ask, parse)
    return 'a text without a statement' if ask.text or ask.shape is not None else None


def _statement_fault_of(ask: Ask, parse: StatementParser) -> str | None:
    if ask.request == _INTERNAL_REQUEST or not is_name(ask.request):
        return 'the request id is none of a caller'
    if not is_line(ask.text):
        return 'the text would end its message early'
    if (ask.kind is StatementKind.EXECUTE) != (ask.shape is not None):
        return 'a shape belongs to the execution of a prepared statement, and to nothing else'
    if ask.shape is not None and not (ask.shape[0] and is_line(ask.shape[0])):
        return 'the shape would end its message early'
    try:
        statement = parse(ask.text)
    except ValueError as error:
        return str(error)
    if (statement.kind, statement.arguments) != (ask.kind, ask.arguments):
        return 'the kind or the arguments are not those of the text'
    return None
