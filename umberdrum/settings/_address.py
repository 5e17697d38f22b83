"""IP address with a port, the only form in which processes refer to each other."""

import ipaddress
from typing import NamedTuple

MAX_PORT = 65_535


class Address(NamedTuple):
    """IP address and port, for both TCP and UDP.

    Example: ``Address("127.0.0.1", 7000)``, printed as ``127.0.0.1:7000``.
    """

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"

    @property
    def is_reachable(self) -> bool:
        """Whether another process can be called at the address.

        Port 0, and the hosts that stand for several or for none, are only for listeners
        and groups.
        """
        host = ipaddress.ip_address(self.host)
        return self.port > 0 and not (host.is_unspecified or host.is_multicast)

    @property
    def is_loopback(self) -> bool:
        """Whether only processes of the same instance can reach the address."""
        return ipaddress.ip_address(self.host).is_loopback


def parse_address(text: str) -> Address:
    """Return the address that ``text`` gives as ``IP:PORT`` or ``[IP]:PORT``.

    Raises ``ValueError`` when the host is not an IP address or the port is not a number
    of 0 to ``MAX_PORT``; its text continues a message that begins with "expected". Host
    names are not resolved.
    """
    host, separator, port_text = text.strip().rpartition(":")
    if not separator:
        raise ValueError(f"an address IP:PORT, found {text!r}")
    try:
        parsed_host = ipaddress.ip_address(host.strip("[]"))
        port = int(port_text)
    except ValueError:
        raise ValueError(f"an address IP:PORT, found {text!r}") from None
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"a port of 0 to {MAX_PORT}, found {port}")
    return Address(str(parsed_host), port)
