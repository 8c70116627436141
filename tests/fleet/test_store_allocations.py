"""Reads and writes that a store's allocation table grants, and parts that it evicts."""

from __future__ import annotations

import testtools

from laburnumpitch.fleet.store_allocations import (
    MIN_BACKLOG_LIMIT_S,
    READ_LEASE_MARGIN_S,
    READ_LEASE_S,
    WRITE_LEASE_S,
    StoreAllocationTable,
)

SALT = "v1"
PIECE = ("a", 1600)
"""Identifier and tokens of a piece."""

PART_NAME = (SALT, "a")
READ_GRANT = (True, False)
SAVE_GRANT = (False, True)
NO_GRANT = (False, False)
"""Whether a request may read a part, and whether it may save it."""


class StoreAllocationTableTest(testtools.TestCase):
    """Allocation table of a store with a capacity of ten pieces."""

    def setUp(self) -> None:
        super().setUp()
        self.allocations = StoreAllocationTable(16_000, 1e12, 1000)

    def request(self, now_s: float, piece: tuple[str, int] = PIECE, salt: str = SALT):
        """Return the grant for one piece."""
        grant = self.allocations.grant(salt, [piece], now_s, 1.0)[0]
        return grant.may_read, grant.may_save

    def fill(self) -> None:
        """Store nine pieces, which is more than remain after an eviction."""
        for number in range(9):
            self.allocations.handle_added((SALT, f"old{number}"), 1600)

    def test_read_only_when_complete(self) -> None:
        """A part that is being written is neither read nor written twice."""
        self.assertEqual(SAVE_GRANT, self.request(0.0))
        self.assertEqual(NO_GRANT, self.request(0.1))
        self.allocations.handle_added(PART_NAME, 1600)
        self.assertEqual(READ_GRANT, self.request(0.2))

    def test_other_salt_is_another_part(self) -> None:
        """A part is never read under the salt of another weight version."""
        self.allocations.handle_added(PART_NAME, 1600)
        self.assertEqual(SAVE_GRANT, self.request(0.0, salt="v2"))

    def test_other_length_is_not_read(self) -> None:
        """A part that is stored with fewer tokens is not read."""
        self.allocations.handle_added(PART_NAME, 800)
        self.assertEqual(NO_GRANT, self.request(0.0))

    def test_expired_write_is_granted_again(self) -> None:
        """A write that did not end within its lease may be granted again."""
        self.request(0.0)
        self.assertEqual(NO_GRANT, self.request(WRITE_LEASE_S - 0.1))
        self.assertTrue(self.allocations.has_expired_write(WRITE_LEASE_S + 0.1))
        self.assertEqual(SAVE_GRANT, self.request(WRITE_LEASE_S + 0.1))

    def test_canceled_write_is_granted_again(self) -> None:
        """A write that did not begin is granted to the next request at once."""
        self.request(0.0)
        self.allocations.cancel_write(PART_NAME)
        self.assertEqual(SAVE_GRANT, self.request(0.1))
        self.allocations.handle_added(PART_NAME, 1600)
        self.allocations.cancel_write(PART_NAME)
        self.assertEqual(READ_GRANT, self.request(0.2))

    def test_leased_part_is_not_evicted(self) -> None:
        """The oldest part is evicted first, but never during a read lease."""
        self.fill()
        self.assertEqual(READ_GRANT, self.request(10.0, ("old0", 1600)))
        freed = self.allocations.evict(10.0)
        self.assertNotIn((SALT, "old0"), freed)
        self.assertIn((SALT, "old1"), freed)

    def test_evicted_part_is_not_granted(self) -> None:
        """A part is removed from the table before the store is called to free it."""
        self.fill()
        self.request(0.0, ("old0", 1600))
        end_s = READ_LEASE_S + READ_LEASE_MARGIN_S
        while self.allocations.parts:
            self.allocations.capacity_tokens = 0
            freed = self.allocations.evict(end_s + 0.1)
            for _, piece_id in freed:
                self.assertEqual(NO_GRANT, self.request(end_s + 0.1, (piece_id, 1600)))

    def test_busy_link_gets_no_reads(self) -> None:
        """No read is granted when the link's backlog exceeds its bound."""
        self.allocations.handle_added(PART_NAME, 1600)
        self.allocations.link_bytes_per_s = 1600 * 1000 / MIN_BACKLOG_LIMIT_S / 2
        for number in range(5):
            self.allocations.handle_added((SALT, f"p{number}"), 1600)
        grants = [self.request(0.0, (f"p{number}", 1600)) for number in range(5)]
        self.assertEqual(READ_GRANT, grants[0])
        self.assertEqual(NO_GRANT, grants[-1])

    def test_hot_part_needs_no_transfer(self) -> None:
        """A part that was just read is granted again without load on the link.

        The engines still have it in their own memory.
        """
        self.allocations.handle_added(PART_NAME, 1600)
        self.allocations.link_bytes_per_s = 1600 * 1000 / MIN_BACKLOG_LIMIT_S * 1.5
        self.assertEqual([READ_GRANT] * 9, [self.request(0.01 * n) for n in range(9)])

    def test_listing(self) -> None:
        """A listing corrects the table and gives the aborted writes."""
        self.allocations.handle_added((SALT, "lost"), 1600)
        self.request(0.0)
        unfinished = self.allocations.apply_listing(
            [((SALT, "b"), 320)], [(SALT, "c")], 1.0
        )
        self.assertEqual([(SALT, "c")], unfinished)
        self.assertEqual({PART_NAME, (SALT, "b")}, set(self.allocations.parts))
