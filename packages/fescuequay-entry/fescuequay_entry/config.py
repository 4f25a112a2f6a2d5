"""Settings of one entry instance, read from a file in JSON with comments."""

import pathlib
import re
from typing import Annotated, Final

import msgspec

from fescuequay_core import jsonc
from fescuequay_core.exceptions import FescuequayError, TextError
from fescuequay_core.relay.fields import is_header_name
from fescuequay_core.settings import Timing

_MAX_PORT: Final = 65535

_HTTP_ADDRESS: Final = re.compile('http[!-~]*')

_Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)]
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class SettingsError(FescuequayError):
    """The settings file is unreadable or invalid; the message names the file and the value."""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry instance.

    :param instance: Name of the instance; a new suffix is added at each start.
    :param data_centre: Data centre of the instance.
    :param callers: IP address and port to listen on for callers; port 0 selects a free one.
    :param peers: IP address and port to listen on for peers, operators and metrics.
    :param platform: Base URL of the platform's services.
    :param secrets: Hexadecimal secrets of at least 32 digits, the same at all instances; the first one signs.
    :param log_level: Minimum level of log lines.
    :param max_body_bytes: Maximum size of a request body.
    :param max_answer_bytes: Maximum size of an answer.
    :param body_timeout_s: Timeout of receiving a request body.
    :param default_timeout_s: Timeout of requests that specify none.
    :param max_timeout_s: Maximum timeout that a request may specify.
    :param connection_idle_s: Idle time after which a pooled connection is closed rather than reused.
    :param drain_notice_s: Time between becoming not ready and refusing new requests.
    :param timing: Intervals and limits of the core.
    """

    instance: str
    data_centre: str
    platform: str
    secrets: tuple[str, ...]
    callers: str = '127.0.0.1:0'
    peers: str = '127.0.0.1:0'
    log_level: str = 'INFO'
    max_body_bytes: _Bytes = 1024 * 1024
    max_answer_bytes: _Bytes = 16 * 1024 * 1024
    body_timeout_s: _Seconds = 5.0
    default_timeout_s: _Seconds = 5.0
    max_timeout_s: _Seconds = 60.0
    connection_idle_s: _Seconds = 5.0
    drain_notice_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 1.5
    timing: Timing = Timing()

    def secret_bytes(self) -> tuple[bytes, ...]:
        """:returns: The secrets as bytes."""
        return tuple(bytes.fromhex(secret) for secret in self.secrets)


def load(path: pathlib.Path) -> Settings:
    """Read a settings file.

    :param path: The file.
    :returns: The settings.
    :raises SettingsError: when the file cannot be read or is invalid.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'the settings file {path} cannot be read: {error.strerror}') from None
    try:
        plain, _ = jsonc.decode_text(raw)
        settings = msgspec.convert(plain, Settings)
    except TextError as error:
        raise SettingsError(f'{path}:{error.line}: {error}') from None
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from None
    _validate(path, settings)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """:returns: The host and the port of an address."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def _validate(path: pathlib.Path, settings: Settings) -> None:
    _validate_sent_texts(path, settings)
    if not settings.secrets:
        raise SettingsError(f'{path}: secrets: at least one secret is needed')
    for secret in settings.secrets:
        try:
            is_long = len(bytes.fromhex(secret)) >= 16
        except ValueError:
            is_long = False
        if not is_long:
            raise SettingsError(f'{path}: secrets: a secret has at least 32 hexadecimal digits')
    if settings.timing.permit_s <= settings.timing.fleet_poll_s:
        raise SettingsError(f'{path}: timing.permit_s must be longer than timing.fleet_poll_s')


def _validate_sent_texts(path: pathlib.Path, settings: Settings) -> None:
    """Refuse names and addresses that would end a header, a path or a log line early."""
    for name in ('instance', 'data_centre'):
        text = getattr(settings, name)
        if not is_header_name(text):
            raise SettingsError(f'{path}: {name}: {text!r} is not a name in printable ASCII without blanks')
    for name in ('callers', 'peers'):
        address = getattr(settings, name)
        host, _, port = address.rpartition(':')
        if not (is_header_name(host) and port.isascii() and port.isdigit() and int(port) <= _MAX_PORT):
            raise SettingsError(f'{path}: {name}: {address!r} is not an IP number with a port')
    if not _HTTP_ADDRESS.fullmatch(settings.platform):
        raise SettingsError(f'{path}: platform: {settings.platform!r} is not an http address')
