"""Addresses on loopback for instances that bind them later."""

import itertools
import os

from magnoliaglade import http
from magnoliaglade.instance import Address

# Ports are tried from here on, spread by process. They lie below the range from
# which the system takes the ports of outgoing connections, one of which could
# otherwise use an address between its choice and its binding.
_FIRST_PORT = 25_000
_PORTS_PER_PROCESS = 20
_PROCESS_SLOTS = 300

_ports = itertools.count(
    _FIRST_PORT + os.getpid() % _PROCESS_SLOTS * _PORTS_PER_PROCESS
)


def free_address():
    """Returns an address on loopback that nothing is bound to."""
    while True:
        port = next(_ports)
        try:
            http.bind("127.0.0.1", port).close()
        except http.HttpServerError:
            # Another process uses the port.
            continue
        return Address(host="127.0.0.1", port=port)
