"""Builders of test data: configuration texts, requests, and their parts."""

import json
from typing import Any

from fescuequay_core import config, keys, textcheck
from fescuequay_core.requests import Request, Statement
from fescuequay_core.types import RequestId, RequestKind, RouteId

SECRET = bytes.fromhex('5e' * 16)

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c', 'dc-d')

#: Routes of the test text: one for reads and writes, one for reads only, and a read-only one that needs no key.
WRITES, READS, OPEN = 'orders', 'menus', 'public'


def key_of(organisation: str) -> str:
    """:returns: API key of an organisation."""
    return f'fq_key-of-{organisation}'


def organisation(name: str, group: str, rate: float = 1000, burst: int = 1000) -> dict[str, Any]:
    """:returns: Description of an organisation with one key."""
    return {
        'rate_per_s': rate,
        'burst': burst,
        'groups': {'db': group},
        'keys': {'main': {'sha256': keys.digest_of(key_of(name))}},
    }


def plain_text(
    *, groups: int = 1, seats: int = 2, acknowledge: str = 'replica', connections: int = 20, slots: int = 5
) -> dict[str, Any]:
    """:returns: A valid configuration text as plain values."""
    described = {
        f'g{number}': {
            'primary': f'g{number}-1',
            'targets': {
                f'g{number}-{place + 1}': {
                    'data_centre': DATA_CENTRES[place],
                    'address': f'127.0.0.1:{6000 + 10 * number + place}',
                    'slots': slots,
                    'connections': connections,
                }
                for place in range(3)
            },
        }
        for number in range(1, groups + 1)
    }
    return {
        'fleet': 'test',
        'data_centres': {name: {'region': 'r1', 'seats': seats} for name in DATA_CENTRES},
        'services': {
            'db': {'access': 'open', 'acknowledge': acknowledge, 'acknowledge_within_ms': 1500, 'groups': described}
        },
        'routes': {
            WRITES: {'service': 'db', 'key_grace_s': 60},
            READS: {'service': 'db', 'read_only': True, 'key_grace_s': 600},
            OPEN: {'service': 'db', 'access': 'open', 'organisation': 'walk-in', 'read_only': True},
        },
        'organisations': {
            'acme': organisation('acme', 'g1'),
            'bolt': organisation('bolt', 'g1'),
            'walk-in': {'rate_per_s': 100, 'burst': 100, 'groups': {'db': 'g1'}},
        },
    }


def raw_text(plain: dict[str, Any]) -> bytes:
    """:returns: Configuration text as JSON."""
    return json.dumps(plain, indent=1).encode()


def text(plain: dict[str, Any]) -> config.Text:
    """:returns: Configuration text after decoding and checks."""
    loaded, faults = textcheck.load(raw_text(plain))
    assert loaded is not None, faults
    return loaded


def request(number: object, now: float, **changes: Any) -> Request:
    """:returns: A statement request of acme, with the fields in ``changes`` replaced."""
    fields: dict[str, Any] = {
        'request_id': RequestId(f'r{number}'),
        'kind': RequestKind.STATEMENT,
        'route': RouteId(WRITES),
        'deadline': now + 5,
        'key_digest': keys.digest_of(key_of('acme')),
        'statements': (Statement(f'insert {number}'),),
    }
    return Request(**{**fields, **changes})
