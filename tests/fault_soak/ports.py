"""Reserve ports for programs that are started and started again."""

import socket
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

from tests.fault_soak.proxy import LOCAL

_LOWEST_PORT = 10000
_OUTGOING_PORTS = Path('/proc/sys/net/ipv4/ip_local_port_range')


@dataclass(frozen=True)
class ReservedPorts:
    """Hold ports for a program's listeners.

    Each is bound but not listening, and may be shared: a listener that allows
    the reuse of addresses can have it, and nobody else can reserve it, in this
    process or another.
    """

    numbers: tuple[int, ...]
    sockets: tuple[socket.socket, ...]

    def close(self) -> None:
        """Let others have the ports."""
        for each in self.sockets:
            each.close()


def reserve_ports(count: int) -> ReservedPorts:
    """Reserve ports that are free for connections and datagrams.

    None that the system gives to outgoing connections: one of these may hold
    the port when an instance starts again, which then ends at once.
    """
    sockets_by_port: dict[int, socket.socket] = {}
    while len(sockets_by_port) < count:
        port = SystemRandom().randrange(_LOWEST_PORT, find_outgoing_ports())
        reserved = _reserve(port)
        if reserved is not None:
            sockets_by_port[port] = reserved
    return ReservedPorts(
        tuple(sockets_by_port), tuple(sockets_by_port.values())
    )


def find_outgoing_ports() -> int:
    """Return the lowest port of outgoing connections."""
    return int(_OUTGOING_PORTS.read_text().split()[0])


def _reserve(port: int) -> socket.socket | None:
    """Bind a port, or return nothing if it is not free."""
    connections = socket.socket()
    with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        try:
            connections.bind((LOCAL, port))
            datagrams.bind((LOCAL, port))
        except OSError:
            connections.close()
            return None
    # Only now: with it, a port that another holds could be bound too.
    connections.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return connections
