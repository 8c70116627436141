"""Sends calls to the leader, among hosts that become known while the node runs."""

from __future__ import annotations

from collections.abc import Iterable

from ..errors import NotLeaderError
from ..membership.control_client import ControlClient
from ..transport.rpc import RpcPool


class LeaderClient(ControlClient):
    """Finds the host whose replica leads and sends it calls.

    Args:
        pool: Connections to other processes.
        hosts: Hosts to call first.
        rpc_port: RPC port, the same on every node.
    """

    def __init__(self, pool: RpcPool, hosts: Iterable[str], rpc_port: int) -> None:
        self.rpc_port = rpc_port
        super().__init__(pool, {host: self.find_address(host) for host in hosts})

    def find_address(self, host: str) -> str:
        """Return the RPC address of a host."""
        return f"{host}:{self.rpc_port}"

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Replace the hosts to call; the last known leader stays among them."""
        wanted = dict.fromkeys([*hosts, self.leader])
        self.addresses = {host: self.find_address(host) for host in wanted}
        self.names = list(self.addresses)

    def follow_hint(self, asked: str, hint: str) -> None:
        """Choose the host to call next; the hint may be a host not known before."""
        if self.leader != asked:
            return
        if hint == NotLeaderError.code:
            hint = ""
        if hint and hint not in self.addresses:
            self.set_hosts([*self.names, hint])
        if asked not in self.addresses:
            self.set_hosts([*self.names, asked])
        super().follow_hint(asked, hint)
