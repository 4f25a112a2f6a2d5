"""A statement that one caller sent over the line protocol, and that a target ran in one way or another."""

import dataclasses

from features.line_wire import LineWire
from fescuequay_core.relay.model import Configuration, Credential, DatabaseName
from fescuequay_core.types import OrganisationId, RequestId, ServiceId, TargetId
from fescuequay_emulator.callers import SentStatement
from fescuequay_emulator.load import read
from fescuequay_emulator.origins import Origins
from fescuequay_emulator.targets import Execution
from fescuequay_emulator.wire import Stream
from fescuequay_entry.relay.ports import Query

_STATEMENT = read(1)
_SENT = SentStatement(RequestId('r1'), (1, 1), Credential('key'), DatabaseName('db'), _STATEMENT, 0.0, 0.0, {}, None, 0)
_EXECUTION = Execution(
    0.0, TargetId('t'), ServiceId('s'), RequestId('r1'), _STATEMENT, OrganisationId('own'), {}, None, 0, (), True, 'n0'
)
_CONFIGURATION = Configuration(1, 3.0, {}, {}, {}, {'key': OrganisationId('own')})

_EXECUTIONS = {
    'as it was sent': _EXECUTION,
    'with another text': dataclasses.replace(_EXECUTION, statement=read(2)),
    'under another id': dataclasses.replace(_EXECUTION, request=RequestId('r2')),
    'under the id of internal statements': dataclasses.replace(_EXECUTION, request=RequestId('-')),
    'for another organisation': dataclasses.replace(_EXECUTION, organisation=OrganisationId('other')),
}


def find_fault(how: str) -> str:
    """:returns: What the checker says about a statement that ran in this way."""
    wire = LineWire()
    requests = (RequestId('r1'), RequestId('-'))
    stream = Stream(bytearray(b''.join(wire.format(Query(request, _STATEMENT)) for request in requests)))
    sent = (_SENT, dataclasses.replace(_SENT, request=RequestId('-')))
    return Origins(sent, (_CONFIGURATION,), (stream,), wire).find_fault(_EXECUTIONS[how])
