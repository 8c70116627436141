"""Pool of clients, one for each address, created on first use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar


class Client(Protocol):
    """A client that can be closed."""

    def close(self) -> None:
        """Release the client's connections."""


ClientT = TypeVar("ClientT", bound=Client)


class ClientPool(Generic[ClientT]):
    """Holds one client for each address.

    Args:
        make_client: Creates a client for an address.
    """

    def __init__(self, make_client: Callable[[str], ClientT]) -> None:
        self.make_client = make_client
        self.clients: dict[str, ClientT] = {}

    def get(self, address: str) -> ClientT:
        """Return the client for an address; created on first use."""
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = self.make_client(address)
        return client

    def retain(self, addresses: set[str]) -> None:
        """Close the clients of all addresses but the given ones."""
        for address in set(self.clients) - addresses:
            self.clients.pop(address).close()

    def close(self) -> None:
        """Close every client."""
        self.retain(set())
