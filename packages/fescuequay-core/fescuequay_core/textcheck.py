"""Decodes and validates the operators' configuration text and reports all of its faults."""

import re
from collections.abc import Iterable, Iterator
from typing import Any, Final, get_args, get_origin, get_type_hints

import msgspec

from fescuequay_core import jsonc
from fescuequay_core.config import Group, Organisation, Route, Target, Text
from fescuequay_core.exceptions import TextError
from fescuequay_core.types import Access, RouteId, ServiceId

#: Larger texts are rejected before they are decoded.
MAX_TEXT_BYTES: Final = 4 * 1024 * 1024

_NAME: Final = re.compile(r'[a-z0-9](?:[a-z0-9-]{0,62})\Z')
_DIGEST: Final = re.compile(r'[0-9a-f]{64}\Z')
_ADDRESS: Final = re.compile(r'(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}\Z')


class Fault(msgspec.Struct, frozen=True, order=True):
    """One fault of a text.

    :param line: Line number from 1.
    :param path: Path of the field.
    :param message: Description of the fault.
    """

    line: int
    path: str
    message: str


#: Path and message of a fault whose line has not been looked up yet.
_Finding = tuple[str, str]


def load(raw: bytes) -> tuple[Text | None, tuple[Fault, ...]]:
    """Decode and validate one text.

    :param raw: Bytes of the text.
    :returns: The text if it has no faults, and all faults.
    """
    if len(raw) > MAX_TEXT_BYTES:
        return None, (Fault(1, '', f'the text has {len(raw)} bytes; at most {MAX_TEXT_BYTES} are accepted'),)
    try:
        plain, source = jsonc.decode_text(raw)
    except TextError as error:
        return None, (Fault(error.line, '', str(error)),)
    lines = jsonc.lines_by_path(source)
    schema_faults = tuple(_schema_findings(plain, Text, ''))
    if schema_faults:
        return None, _with_lines(lines, schema_faults)
    text = msgspec.convert(plain, Text)
    faults = _with_lines(lines, _semantic_findings(text))
    return (None if faults else text), faults


def load_applied(raw: bytes) -> tuple[Text | None, tuple[Fault, ...]]:
    """Decode a text that was validated when it was applied.

    Looking up the line of each value takes most of the time of ``load`` and is needed only to report faults,
    so it is skipped for a text without faults.

    :param raw: Bytes of the text.
    :returns: The same as ``load``.
    """
    try:
        text = msgspec.json.decode(jsonc.plain_json(raw.decode('utf-8')), type=Text)
    except (TextError, UnicodeDecodeError, msgspec.DecodeError, RecursionError):
        return load(raw)
    return load(raw) if any(True for _ in _semantic_findings(text)) else (text, ())


def _with_lines(lines: dict[str, int], findings: Iterator[_Finding] | tuple[_Finding, ...]) -> tuple[Fault, ...]:
    return tuple(sorted(Fault(jsonc.nearest_line(lines, path), path, message) for path, message in findings))


def _schema_findings(plain: object, kind: Any, path: str) -> Iterator[_Finding]:
    """Report every value of the wrong type; the decoder reports only the first."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _object_findings(plain, kind, path)
    elif get_origin(kind) is dict and isinstance(plain, dict):
        for key, value in plain.items():
            yield from _schema_findings(value, get_args(kind)[1], _join(path, key))
    else:
        yield from _value_findings(plain, kind, path)


def _object_findings(plain: object, kind: type[msgspec.Struct], path: str) -> Iterator[_Finding]:
    if not isinstance(plain, dict):
        yield path, 'an object is expected here'
        return
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in plain:
        if key not in fields:
            yield _join(path, key), f'{key!r} is not a known field; known fields are {", ".join(sorted(fields))}'
    for name, field in fields.items():
        if name in plain:
            yield from _schema_findings(plain[name], hints[name], _join(path, name))
        elif field.required:
            yield path, f'the field {name!r} is missing'


def _value_findings(plain: object, kind: Any, path: str) -> Iterator[_Finding]:
    try:
        msgspec.convert(plain, kind)
    except msgspec.ValidationError as error:
        yield path, str(error).split(' - at ')[0]


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _semantic_findings(text: Text) -> Iterator[_Finding]:
    yield from _name_findings(text)
    yield from _service_findings(text)
    yield from _group_findings(text)
    yield from _route_findings(text)
    yield from _organisation_findings(text)
    yield from _key_findings(text)


def _name_findings(text: Text) -> Iterator[_Finding]:
    yield from _invalid_names('data_centres', text.data_centres)
    yield from _invalid_names('services', text.services)
    yield from _invalid_names('routes', text.routes)
    yield from _invalid_names('organisations', text.organisations)
    if not text.data_centres:
        yield 'data_centres', 'at least one data centre is needed'


def _invalid_names(path: str, names: Iterable[str]) -> Iterator[_Finding]:
    for name in names:
        if not _NAME.match(name):
            yield f'{path}.{name}', f'{name!r} is not a name; names have lower-case letters, digits and hyphens'


def _service_findings(text: Text) -> Iterator[_Finding]:
    for service_id, service in text.services.items():
        path = f'services.{service_id}'
        for needed in service.depends_on:
            if needed not in text.services:
                yield f'{path}.depends_on', f'there is no service {needed!r}'
        if service_id in _reachable(text, service_id):
            yield f'{path}.depends_on', f'the service {service_id!r} depends on itself'


def _reachable(text: Text, start: ServiceId) -> set[ServiceId]:
    """:returns: Services on which one service depends, directly or indirectly."""
    found: set[ServiceId] = set()
    waiting = list(text.services[start].depends_on)
    while waiting:
        service_id = waiting.pop()
        if service_id not in found and service_id in text.services:
            found.add(service_id)
            waiting.extend(text.services[service_id].depends_on)
    return found


def _group_findings(text: Text) -> Iterator[_Finding]:
    group_paths: dict[str, str] = {}
    target_paths: dict[str, str] = {}
    address_paths: dict[str, str] = {}
    for service_id, service in text.services.items():
        for group_id, group in service.groups.items():
            path = f'services.{service_id}.groups.{group_id}'
            yield from _check_duplicate(group_paths, group_id, path, 'group id')
            yield from _check_group(group, path)
            for target_id, target in group.targets.items():
                target_path = f'{path}.targets.{target_id}'
                yield from _check_duplicate(target_paths, target_id, target_path, 'target id')
                yield from _check_duplicate(address_paths, target.address, f'{target_path}.address', 'address')
                yield from _check_target(text, target, target_path)


def _check_group(group: Group, path: str) -> Iterator[_Finding]:
    if not _NAME.match(path.rsplit('.', 1)[-1]):
        yield path, 'a group id consists of lower-case letters, digits and hyphens'
    if group.primary not in group.targets:
        yield f'{path}.primary', f'there is no target {group.primary!r} in this group'
    elif group.targets[group.primary].draining:
        yield f'{path}.primary', f'the target {group.primary!r} is draining and cannot lead'


def _check_target(text: Text, target: Target, path: str) -> Iterator[_Finding]:
    if target.data_centre not in text.data_centres:
        yield f'{path}.data_centre', f'there is no data centre {target.data_centre!r}'
    if not _ADDRESS.match(target.address):
        yield f'{path}.address', f'{target.address!r} is not an IP address with a port'
    if target.slots > target.connections:
        yield f'{path}.slots', f'{target.slots} slots cannot be used with {target.connections} connections'


def _check_duplicate(seen: dict[str, str], name: str, path: str, label: str) -> Iterator[_Finding]:
    first = seen.setdefault(name, path)
    if first != path:
        yield path, f'the {label} {name!r} is already used at {first}'


def _route_findings(text: Text) -> Iterator[_Finding]:
    for route_id, route in text.routes.items():
        path = f'routes.{route_id}'
        if route.service not in text.services:
            yield f'{path}.service', f'there is no service {route.service!r}'
            continue
        if not text.services[route.service].groups:
            yield f'{path}.service', f'the service {route.service!r} has no group that could serve requests'
        if route.access is Access.OPEN:
            yield from _open_route_findings(text, route, path)
        elif route.organisation is not None:
            yield f'{path}.organisation', 'a keyed route names no organisation; the organisation of the key is charged'


def _open_route_findings(text: Text, route: Route, path: str) -> Iterator[_Finding]:
    if route.organisation is None:
        yield path, 'an open route needs the organisation to which its requests are charged'
    elif route.organisation not in text.organisations:
        yield f'{path}.organisation', f'there is no organisation {route.organisation!r}'
    reached = {route.service} | _reachable(text, route.service)
    for service_id in sorted(reached):
        if text.services[service_id].access is Access.KEYED:
            yield f'{path}.service', f'an open route would reach the keyed service {service_id!r}'


def _organisation_findings(text: Text) -> Iterator[_Finding]:
    for organisation_id, organisation in text.organisations.items():
        path = f'organisations.{organisation_id}'
        for service_id, group_id in organisation.groups.items():
            service = text.services.get(service_id)
            if service is None:
                yield f'{path}.groups.{service_id}', f'there is no service {service_id!r}'
            elif group_id not in service.groups:
                yield f'{path}.groups.{service_id}', f'the service {service_id!r} has no group {group_id!r}'


def _key_findings(text: Text) -> Iterator[_Finding]:
    digest_paths: dict[str, str] = {}
    for organisation_id, organisation in text.organisations.items():
        for name, key in organisation.keys.items():
            path = f'organisations.{organisation_id}.keys.{name}'
            if not _DIGEST.match(key.sha256):
                yield f'{path}.sha256', 'a key digest consists of 64 hexadecimal digits in lower case'
            yield from _check_duplicate(digest_paths, key.sha256, f'{path}.sha256', 'key digest')
            for route_id in key.routes:
                yield from _key_route_findings(text, organisation, route_id, f'{path}.routes')


def _key_route_findings(text: Text, organisation: Organisation, route_id: RouteId, path: str) -> Iterator[_Finding]:
    route = text.routes.get(route_id)
    if route is None:
        yield path, f'there is no route {route_id!r}'
    elif route.access is Access.KEYED and route.service not in organisation.groups:
        yield path, f'the organisation has no group for the service {route.service!r} of the route {route_id!r}'
