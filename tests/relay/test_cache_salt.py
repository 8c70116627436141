"""Salts that separate the kept context of isolated organisations."""

from __future__ import annotations

from types import SimpleNamespace

import testtools

from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.relay.configuration import Organisation
from laburnumpitch.relay.context_planner import make_cache_salt
from laburnumpitch.transport.header_bytes import encode_headers

TARGET = TargetRecord("t0", "shop", "127.0.0.1:1", "dc", 1, 1, 4, build="v1")
NAMES = ("shop", "Česk\u00fd", "a/b", "a%2Fb", "a\nb", " a", "a", "a ")


def make_salt(name: str) -> str:
    """Return the salt of an isolated organisation."""
    organisation = Organisation(name, ("key",), None, True)
    return make_cache_salt(SimpleNamespace(organisation=organisation), TARGET, 1)


class OrganisationNameTest(testtools.TestCase):
    """Organisations whose names are no values of headers."""

    scenarios = [(repr(name), {"name": name}) for name in NAMES]

    def test_salt_fits_in_a_header(self) -> None:
        """A request that carries the salt can be written."""
        salt = make_salt(self.name)
        ((_, value),) = encode_headers([("cache-salt", salt)])
        self.assertRegex(value.decode(), r"\A[!-~]+\Z")

    def test_salt_is_unique(self) -> None:
        """No other organisation has the same salt."""
        others = [make_salt(name) for name in NAMES if name != self.name]
        self.assertNotIn(make_salt(self.name), others)
