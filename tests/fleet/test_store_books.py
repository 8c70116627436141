"""Reads, saves and frees that a store's keeper grants."""

from __future__ import annotations

import testtools

from laburnumpitch.fleet.store_books import (
    MAX_BACKLOG_S,
    READ_S,
    READ_SLACK_S,
    WRITE_S,
    PartGrant,
    StoreBooks,
)

SALT = "v1"
PIECE = ("a", 1600)
NAME = (SALT, "a")
READ = PartGrant(True, False)
SAVE = PartGrant(False, True)
NOTHING = PartGrant(False, False)


class StoreBooksTest(testtools.TestCase):
    """The books of a store with room for ten pieces."""

    def setUp(self) -> None:
        super().setUp()
        self.books = StoreBooks(16_000, 1e12, 1000)

    def ask(self, now_s: float, piece: tuple[str, int] = PIECE, salt: str = SALT):
        """Return the grant for one piece."""
        return self.books.grant(salt, [piece], now_s, 1.0)[0]

    def fill(self) -> None:
        """Store nine pieces, which is as many as are kept."""
        for number in range(9):
            self.books.note_added((SALT, f"old{number}"), 1600)

    def test_read_only_when_whole(self) -> None:
        """A part that is being written is neither read nor written twice."""
        self.assertEqual(SAVE, self.ask(0.0))
        self.assertEqual(NOTHING, self.ask(0.1))
        self.books.note_added(NAME, 1600)
        self.assertEqual(READ, self.ask(0.2))

    def test_other_salt_is_another_part(self) -> None:
        """Weights of another version never read a part."""
        self.books.note_added(NAME, 1600)
        self.assertEqual(SAVE, self.ask(0.0, salt="v2"))

    def test_other_length_is_not_read(self) -> None:
        """A part that was stored in part is not read."""
        self.books.note_added(NAME, 800)
        self.assertEqual(NOTHING, self.ask(0.0))

    def test_write_that_broke_off(self) -> None:
        """A save that is never heard to end may be tried again."""
        self.ask(0.0)
        self.assertEqual(NOTHING, self.ask(WRITE_S - 0.1))
        self.assertTrue(self.books.has_unfinished(WRITE_S + 0.1))
        self.assertEqual(SAVE, self.ask(WRITE_S + 0.1))

    def test_nothing_read_is_freed(self) -> None:
        """The oldest part goes first, but never while it may be read."""
        self.fill()
        self.assertEqual(READ, self.ask(10.0, ("old0", 1600)))
        freed = self.books.choose_freed(10.0)
        self.assertNotIn((SALT, "old0"), freed)
        self.assertIn((SALT, "old1"), freed)

    def test_freed_part_is_not_granted(self) -> None:
        """A part is struck before the store is told to free it."""
        self.fill()
        self.ask(0.0, ("old0", 1600))
        end_s = READ_S + READ_SLACK_S
        while self.books.parts:
            self.books.capacity_tokens = 0
            freed = self.books.choose_freed(end_s + 0.1)
            for _, piece_id in freed:
                self.assertEqual(NOTHING, self.ask(end_s + 0.1, (piece_id, 1600)))

    def test_busy_link_is_left_alone(self) -> None:
        """Reads stop when waiting for the link takes longer than reading anew."""
        self.books.note_added(NAME, 1600)
        self.books.bytes_per_s = 1600 * 1000 / MAX_BACKLOG_S / 2
        for number in range(5):
            self.books.note_added((SALT, f"p{number}"), 1600)
        grants = [self.ask(0.0, (f"p{number}", 1600)) for number in range(5)]
        self.assertEqual(READ, grants[0])
        self.assertEqual(NOTHING, grants[-1])

    def test_hot_part_needs_no_transfer(self) -> None:
        """A part that was just read is still in the engines' own memory."""
        self.books.note_added(NAME, 1600)
        self.books.bytes_per_s = 1600 * 1000 / MAX_BACKLOG_S * 1.5
        self.assertEqual([READ] * 9, [self.ask(0.01 * n) for n in range(9)])

    def test_listing(self) -> None:
        """A listing corrects the books and names what broke off."""
        self.books.note_added((SALT, "lost"), 1600)
        self.ask(0.0)
        broken = self.books.take_listing([((SALT, "b"), 320)], [(SALT, "c")], 1.0)
        self.assertEqual([(SALT, "c")], broken)
        self.assertEqual({NAME, (SALT, "b")}, set(self.books.parts))
