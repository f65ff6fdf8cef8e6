"""Conversion of address strings for network libraries."""


def split_address(address: str) -> tuple[str, int]:
    """Split a validated ``IP:PORT`` string.

    Args:
        address: The string; an IPv6 address may stand in brackets.

    Returns:
        The IP address and the port.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
