"""Reservation of ports, and errors for processes that end during a start."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from harness import ports
from harness.process import Process, ProcessEndedError


class PortsTest(testtools.TestCase):
    """Reservations from blocks of four ports, so that several blocks are needed."""

    def setUp(self) -> None:
        super().setUp()
        self.patch(ports, "BLOCK_PORTS", 4)
        self.patch(ports, "BLOCK_COUNT", 50)
        self.patch(ports, "FIRST_PORT", 14000)
        self.patch(ports, "_claimed_blocks", [])
        self.patch(ports, "_reserved_ports", set())
        self.addCleanup(self.release_blocks)

    def release_blocks(self) -> None:
        """Close the sockets that claim the test's blocks."""
        for block in ports._claimed_blocks:
            block.lock_socket.close()

    def test_no_port_twice(self) -> None:
        """A reserved port on which nothing listens yet is not reserved again."""
        reserved = [ports.reserve_port() for _ in range(12)]
        self.assertEqual(len(reserved), len(set(reserved)))

    def test_released_port_is_reserved_again(self) -> None:
        """Released ports can be reserved again."""
        reserved = {ports.reserve_port() for _ in range(3)}
        ports.release_ports(reserved)
        self.assertEqual(reserved, {ports.reserve_port() for _ in range(3)})


class EndedProcessTest(testtools.TestCase):
    """A process that ends while something waits for it."""

    def test_error_has_last_lines(self) -> None:
        """The error quotes the last lines of the process's output."""
        with tempfile.TemporaryDirectory() as folder:
            code = "import sys; sys.exit('no such address')"
            process = Process("ended", ["-c", code], Path(folder))
            process.start()
            process.wait_exit()
            error = self.assertRaises(ProcessEndedError, process.check_running)
            self.assertIn("no such address", str(error))
