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
        wanted = dict.fromkeys([*hosts, self.leader_name])
        self.addresses = {host: self.find_address(host) for host in wanted}
        self.replica_names = list(self.addresses)

    def update_leader(self, called_name: str, hint: str) -> None:
        """Choose the host to call next; the hint may be a host not known before."""
        if self.leader_name != called_name:
            return
        if hint == NotLeaderError.code:
            hint = ""
        if hint and hint not in self.addresses:
            self.set_hosts([*self.replica_names, hint])
        if called_name not in self.addresses:
            self.set_hosts([*self.replica_names, called_name])
        super().update_leader(called_name, hint)
