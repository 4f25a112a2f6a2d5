"""Ports for the processes and listeners of tests, which nothing else takes between their choice and their use."""

import pathlib
import random
import socket
from typing import Final

_HOST: Final = '127.0.0.1'

#: Range from which the kernel gives ports to outgoing connections and to listeners that name none.
_KERNEL_RANGE: Final = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')

_FIRST_PORT: Final = 10_000

# Hold the ports for as long as this process runs.
_reservations: list[socket.socket] = []


def reserve_port() -> int:
    """Reserve a TCP port outside the kernel's range for this process and those that it starts.

    A UDP socket marks the port as taken for other test processes, and leaves it free for a TCP listener.

    :returns: The port.
    """
    first_of_kernel = int(_KERNEL_RANGE.read_text().split()[0])
    while True:
        port = random.randrange(_FIRST_PORT, first_of_kernel)  # noqa: S311 -- no secret
        mark = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            mark.bind((_HOST, port))
            with socket.socket() as probe:
                probe.bind((_HOST, port))
        except OSError:
            mark.close()
            continue
        _reservations.append(mark)
        return port
