"""Settings of an instance, loaded from JSON with comments and validated."""

import pathlib
import re
from collections.abc import Callable
from typing import Annotated, Final

import msgspec

from fescuequay_core import jsonc
from fescuequay_core.exceptions import TextError
from fescuequay_core.relay.fields import is_header_name, is_plain_name

Address = Annotated[str, msgspec.Meta(pattern=r'\A[0-9.]+:[0-9]{1,5}\Z')]

#: Whether a setting can be sent and written where it is used, and what it has to be.
_CHECKS_BY_SETTING: Final[dict[str, tuple[Callable[[str], bool], str]]] = {
    'instance': (is_header_name, 'a name in printable ASCII without blanks, of at most 190 characters'),
    'data_centre': (is_plain_name, 'a printable name without blanks, of at most 190 characters'),
    'host': (lambda text: re.fullmatch('[0-9.]+', text) is not None, 'an IP address'),
}


class SettingsError(Exception):
    """The settings are invalid; the message names the file, the setting and the value."""


class MachineLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an instance may use of its machine.

    :param cpu_share: Share of one core.
    :param cores: How many times as fast as one core it is.
    :param link_mbps: Bandwidth of its network link, in Mbit/s.
    :param memory_mb: Memory of its process, in MB; a quarter may hold what waits on the connections of callers.
    """

    cpu_share: Annotated[float, msgspec.Meta(gt=0)]
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    memory_mb: Annotated[float, msgspec.Meta(ge=1)] | None = None


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an instance.

    :param instance: Name of this instance.
    :param data_centre: Data centre that it runs in.
    :param host: Its IP address.
    :param callers: ``host:port`` of the callers' listener.
    :param readiness: ``host:port`` of the listener for readiness checks.
    :param peer_ports: First and last port for connections between instances.
    :param store: ``host:port`` of the table.
    :param promoter: ``host:port`` of the promoter.
    :param stop_s: Time from SIGTERM until the process is killed, in seconds.
    :param limit_window_s: Length of the window over which rate limits are measured, in seconds.
    :param limit_overage: Fraction by which a limit may be exceeded within a window.
    :param limit_slack: Number of operations by which it may be exceeded in addition.
    :param evacuation_ms: Time from the operators' request to evacuate a data centre after which its targets may get no
        work, in milliseconds.
    :param configuration_ms: Time from the table's acknowledgement of a configuration within which it must be in force,
        in milliseconds.
    :param log_level: Minimum level of log lines.
    :param capacity: What the instance may use of its machine; without it, it is no gateway of a target.
    """

    instance: str
    data_centre: str
    host: str
    callers: Address
    readiness: Address
    peer_ports: tuple[int, int]
    store: Address
    promoter: Address
    stop_s: float = 6.0
    limit_window_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    limit_overage: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    limit_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    evacuation_ms: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    configuration_ms: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    log_level: str = 'info'
    capacity: MachineLimits | None = None


def load(path: pathlib.Path) -> RelaySettings:
    """Load and validate a settings file.

    :param path: The file.
    :returns: The settings.
    :raises SettingsError: It can not be read or is invalid.
    """
    plain, text = _decode(path)
    try:
        settings = msgspec.convert(plain, RelaySettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error
    for name, (is_sound, needed) in _CHECKS_BY_SETTING.items():
        found = getattr(settings, name)
        if not is_sound(found):
            line = jsonc.nearest_line(jsonc.lines_by_path(text), name)
            raise SettingsError(f'{path}:{line}: {name}: {found!r} is not {needed}')
    return settings


def _decode(path: pathlib.Path) -> tuple[object, str]:
    try:
        return jsonc.decode_text(path.read_bytes())
    except TextError as error:
        raise SettingsError(f'{path}:{error.line}: {error}') from error
    except OSError as error:
        raise SettingsError(f'{path}: {error}') from error


def split_address(address: str) -> tuple[str, int]:
    """:returns: Host and port. :raises ValueError: The port is no number."""
    host, _, port = address.rpartition(':')
    return host, int(port)
