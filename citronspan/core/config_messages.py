"""Messages between agents about the configuration and their offsets."""

from citronspan.core.message_base import Message
from citronspan.core.node_messages import NodeInfo


class Greeting(Message, kw_only=True):
    """An agent's own information, until membership carries it.

    Attributes:
        node: The sender.
        addresses: Peer addresses of agents that the sender knows.
    """

    node: NodeInfo
    addresses: tuple[str, ...] = ()
