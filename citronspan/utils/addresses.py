"""Conversion between address texts and what libraries take."""


def split_address(address: str) -> tuple[str, int]:
    """Split a checked ``IP:PORT`` text.

    Args:
        address: The text.

    Returns:
        The IP address and the port.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
