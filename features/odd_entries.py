"""Registry entries, configurations and rows that another writer has left: malformed, too deep, or out of range."""

import json
from typing import Any, Final

_DEEP: Final = 100_000
_DEEP_OBJECTS: Final = 5_000

#: Beyond 64 bits.
_HUGE: Final = 2**70

_ENTRY: Final[dict[str, Any]] = {
    'service': 'svc',
    'address': '127.0.0.1:1',
    'zone': 'z',
    'state': 'ready',
    'db_role': 'replica',
    'born': 1,
    'slots': 4,
}


def entry(**fields: Any) -> bytes:
    """:returns: A registry entry that is complete but for these fields."""
    return json.dumps({**_ENTRY, **fields}).encode()


def with_raw(plain: bytes, field: str, raw: bytes) -> bytes:
    """:returns: A JSON object with one more field."""
    return plain[:-1] + b', "' + field.encode() + b'": ' + raw + b'}'


#: JSON arrays and objects that are nested too deep for the decoder.
DEEP_ARRAYS: Final = b'[' * _DEEP + b']' * _DEEP
DEEP_OBJECTS: Final = b'{"a":' * _DEEP_OBJECTS + b'1' + b'}' * _DEEP_OBJECTS

ENTRIES_BY_NAME: Final[dict[str, bytes]] = {
    'an unknown field of nested arrays': with_raw(entry(), 'x', DEEP_ARRAYS),
    'an unknown field of nested objects': with_raw(entry(), 'x', DEEP_OBJECTS),
    'nested arrays alone': DEEP_ARRAYS,
    'a port out of range': entry(address='127.0.0.1:99999'),
    'a port of 30 digits': entry(address='127.0.0.1:' + '9' * 30),
    'port 0': entry(address='127.0.0.1:0'),
    'a negative port': entry(address='127.0.0.1:-1'),
    'a port of other digits': entry(address='127.0.0.1:\u0661\u0662'),
    'no port': entry(address='127.0.0.1'),
    'an empty port': entry(address='127.0.0.1:'),
    'a port that is no number': entry(address='127.0.0.1:x'),
    'an empty address': entry(address=''),
    'a NUL in the host': entry(address='127.0.0.1\0:80'),
    'a host that is no IP address': entry(address='a' * 300 + ':80'),
    'a huge start': entry(born=_HUGE),
    'a start before time': entry(born=-1),
    'huge slots': entry(slots=_HUGE),
    'negative slots': entry(slots=-1),
    'a boolean for slots': entry(slots=True),
    'a number that is infinite': with_raw(entry(), 'born', b'1e400'),
    'a number of 5000 digits': with_raw(entry(), 'born', b'9' * 5000),
    'a line feed in the service': entry(service='svc\r\nQUERY - DEMOTE 9'),
    'a lone surrogate': with_raw(entry(), 'zone', b'"\\ud800"'),
    'no UTF-8': with_raw(entry(), 'zone', b'"\xff\xfe"'),
    'another state': entry(state='asleep'),
    'no JSON': b'\x00\x01',
    'nothing': b'',
}

#: Keys of rows that are no id of a database, which is sent as a field of a message.
KEYS_BY_NAME: Final[dict[str, str]] = {
    'an empty key': '',
    'a blank in the key': 'i-1 x',
    'a request in the key': 'i-1\r\nQUERY 1 READ x',
    'a line feed in the key': 'i\n-1',
    'a line feed at the end of the key': 'i-1\n',
    'a carriage return in the key': 'i\r-1',
    'a NUL in the key': 'i-1\0',
    'a key that is too long': 'i' * 201,
}

#: Rows of the system's own table, by what is odd about their content.
OWN_ROWS_BY_NAME: Final[dict[str, bytes]] = {
    'nested arrays': DEEP_ARRAYS,
    'a leader record of a huge term': json.dumps(
        {'service': 'svc', 'term': _HUGE, 'target': 'i-1', 'state': 'leading', 'cause': 'x'}
    ).encode(),
    'a leader record of a negative version': json.dumps(
        {'service': 'svc', 'term': 1, 'target': 'i-1', 'state': 'leading', 'cause': 'x', 'version': -1}
    ).encode(),
    'a lease of a huge token': json.dumps(
        {'instance': 'a', 'incarnation': 'i', 'address': 'a:1', 'token': _HUGE, 'nonce': 'n'}
    ).encode(),
    'no JSON': b'\xff',
}


def configuration(**fields: Any) -> dict[str, Any]:
    """:returns: A configuration with one route, service and organisation, and these fields."""
    route = {'name': 'r', 'host': 'db', 'route_type': 'primary', 'service': 'svc'}
    return {
        'version': 3,
        'routes': [route],
        'services': [{'name': 'svc'}],
        'tenants': [{'name': 'org', 'api_keys': ['secret']}],
        **fields,
    }


def with_odd_entries(plain: dict[str, Any]) -> bytes:
    """:returns: A configuration with further entries, each of which can't be used, and two odd fields of its own."""
    nameless = b'{"name": "\\ud800", "host": "h", "route_type": "primary", "service": "svc"}'
    odd = [b'null', b'[' * _DEEP_OBJECTS + b']' * _DEEP_OBJECTS, b'{"name": 7}', nameless]
    parts: list[bytes] = []
    for name, content in plain.items():
        raw = json.dumps(content).encode()
        if isinstance(content, list):
            raw = raw[:-1] + b', ' + b', '.join(odd) + b']'
        parts.append(json.dumps(name).encode() + b': ' + raw)
    parts.extend((b'"x": ' + DEEP_ARRAYS, b'"\\udc00": 1'))
    return b'{' + b', '.join(parts) + b'}'


#: Names and addresses of instances that would end a header, a path or a row key early, by field.
ODD_INSTANCES: Final[tuple[tuple[str, str], ...]] = (
    ('instance', 'i\r\nX-Fencing-Token: 9'),
    ('instance', 'i\n'),
    ('instance', 'i\0'),
    ('instance', 'i j'),
    ('instance', 'i' * 300),
    ('address', '127.0.0.1:1\r\n'),
    ('address', '127.0.0.1:1\n'),
    ('address', '127.0.0.1\r\nX: 1:1'),
    ('address', '127.0.0.1: 1'),
    ('address', '\u0100:1'),
    ('address', '127.0.0.1:\u0661'),
    ('address', '127.0.0.1'),
    ('address', 'a:1' + '1' * 300),
    ('data_centre', 'north\r\n'),
    ('data_centre', 'north\0'),
    ('data_centre', 'the north'),
)
