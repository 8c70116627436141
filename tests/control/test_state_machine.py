"""Commands of the state machine, and all interleavings of two claimants."""

from __future__ import annotations

import itertools

import testtools

from laburnumpitch.control.commands import (
    CLAIM_GRANTED,
    CLAIM_HELD,
    CLAIM_MISMATCH,
    CLAIM_SETTLED,
    CLAIM_UNKNOWN,
    ApplyChange,
    BeginTrial,
    Claim,
    EndTrial,
    ExpireNode,
    JoinNode,
    KeptAnswer,
    RecordDeath,
    ReleaseClaim,
    SectionChange,
    SettleClaim,
)
from laburnumpitch.control.document import parse_document, split_sections
from laburnumpitch.control.state_machine import StateMachine
from laburnumpitch.errors import InvalidDocumentError

POOL = '[pools.p]\nowner = "platform"\nkind = "engine"\n'
MODEL = '[models.m]\nowner = "models"\npool = "p"\nweight_version = "v1"\n'


def make_claim(claimant: str, digest: str = "d", node: str = "n1") -> Claim:
    """Return a claimant's claim; all claims are of the same request."""
    return Claim("org", "key", digest, claimant, node, 1, 1.0)


def make_change(change_id: str, name: str, base_version: int, text: str) -> ApplyChange:
    """Return a root operator's change of one section."""
    return ApplyChange(change_id, "root", [SectionChange(name, base_version, text)])


class ClaimTest(testtools.TestCase):
    """Claims of non-idempotent requests."""

    def test_lifecycle(self) -> None:
        """A claim is granted to one claimant, and a snapshot keeps its outcome."""
        machine = StateMachine()
        self.assertEqual(CLAIM_GRANTED, machine.apply(make_claim("a")).status)
        self.assertEqual(CLAIM_GRANTED, machine.apply(make_claim("a")).status)
        self.assertEqual(CLAIM_HELD, machine.apply(make_claim("b")).status)
        self.assertEqual(CLAIM_MISMATCH, machine.apply(make_claim("b", "x")).status)
        answer = KeptAnswer(201, [], b"done")
        machine.apply(SettleClaim("org", "key", "a", True, answer))
        later = StateMachine(machine.dump()).apply(make_claim("c"))
        self.assertEqual((CLAIM_SETTLED, answer), (later.status, later.answer))
        settled = machine.apply(make_claim("a"))
        self.assertEqual(CLAIM_SETTLED, settled.status)

    def test_dead_node(self) -> None:
        """The open claims of a node that expired or restarted become unknown."""
        for command in (ExpireNode("n1", 1), JoinNode("n1", 2)):
            machine = StateMachine()
            machine.apply(JoinNode("n1", 1))
            machine.apply(make_claim("a"))
            machine.apply(command)
            self.assertEqual(CLAIM_UNKNOWN, machine.apply(make_claim("b")).status)

    def test_all_interleavings(self) -> None:
        """In all interleavings of the commands at most one claimant sends the request.

        Claimant a claims, repeats the claim as after a lost answer, sends and
        settles. Claimant b claims, releases, claims again, sends and loses the
        answer. The node of a dies at any point. A claimant sends only if its claim
        was granted and not released.
        """
        steps = {
            "a": ("claim", "claim", "send", "settle"),
            "b": ("claim", "release", "claim", "send"),
            "n": ("die",),
        }
        actors = [actor for actor, names in steps.items() for _ in names]
        states = 0
        for interleaving in sorted(set(itertools.permutations(actors))):
            states += self.run_interleaving(interleaving, steps)
        self.assertGreater(states, 1000)
        print(f"claim_orders_states={states}")

    def run_interleaving(self, interleaving, steps) -> int:
        """Run one interleaving, check it, and return its number of states.

        The state machine is restored from a snapshot after each step.
        """
        machine = StateMachine()
        machine.apply(JoinNode("n1", 1))
        granted = {"a": False, "b": False}
        next_step = dict.fromkeys(steps, 0)
        sent = 0
        for actor in interleaving:
            step = steps[actor][next_step[actor]]
            next_step[actor] += 1
            if step == "claim":
                node = "n1" if actor == "a" else "n2"
                result = machine.apply(make_claim(actor, node=node))
                granted[actor] = result.status == CLAIM_GRANTED
            elif step == "send":
                sent += granted[actor]
            elif step == "settle" and granted[actor]:
                answer = KeptAnswer(201, [], b"")
                machine.apply(SettleClaim("org", "key", actor, True, answer))
            elif step == "release":
                machine.apply(ReleaseClaim("org", "key", actor))
                granted[actor] = False
            elif step == "die":
                machine.apply(ExpireNode("n1", 1))
            self.assertLessEqual(sent, 1, interleaving)
            machine = StateMachine(machine.dump())
        return len(interleaving)


class SuspectTest(testtools.TestCase):
    """Suspects: requests that were in flight when targets died."""

    def test_quarantine(self) -> None:
        """Two deaths of targets quarantine a suspect; a completed trial clears it."""
        machine = StateMachine()
        machine.apply(RecordDeath("f", "r1", "e1/1"))
        machine.apply(RecordDeath("f", "r2", "e1/1"))
        trial = BeginTrial("f", "r1", "e2", "n1", 1)
        self.assertTrue(machine.apply(trial).may_run)
        machine.apply(RecordDeath("other", "r9", "e1/1"))
        trial_of_other = BeginTrial("other", "r9", "e2", "n1", 1)
        self.assertFalse(machine.apply(trial_of_other).may_run)
        result = machine.apply(RecordDeath("f", "r1", "e2/1"))
        self.assertEqual(2, result.deaths)
        later_trial = BeginTrial("f", "r3", "e3", "n1", 1)
        self.assertFalse(machine.apply(later_trial).may_run)
        self.assertTrue(machine.apply(trial_of_other).may_run)
        machine.apply(EndTrial("other", "r9", True))
        self.assertNotIn("other", machine.state.suspects)


class DocumentTest(testtools.TestCase):
    """Changes to the document."""

    def test_compare_and_set(self) -> None:
        """Of two changes to a version one is accepted; a resend gets its result."""
        machine = StateMachine()
        first = machine.apply(make_change("1", "pools.p", 0, POOL))
        self.assertEqual(("", 1), (first.error_code, first.revision))
        loser = machine.apply(make_change("2", "pools.p", 0, POOL + "# mine\n"))
        self.assertEqual("version_conflict", loser.error_code)
        self.assertIn(POOL, loser.detail)
        machine = StateMachine(machine.dump())
        self.assertEqual(first, machine.apply(make_change("1", "pools.p", 0, POOL)))
        retried = make_change("2", "pools.p", 1, POOL + "# mine\n")
        self.assertEqual(loser, machine.apply(retried))
        self.assertEqual(1, machine.state.revision)

    def test_sections_since(self) -> None:
        """A node gets exactly the sections that changed after its revision.

        This holds with the full history and with one that was cut at the front.
        """
        machine = StateMachine()
        for number in range(6):
            name = f"pools.p{number % 3}"
            text = POOL.replace("pools.p", name)
            machine.apply(make_change(str(number), name, number // 3, text))
        for removed_items in (0, 3):
            del machine.state.history[:removed_items]
            for revision in range(7):
                expected = {
                    section.name
                    for section in machine.state.sections.values()
                    if section.revision > revision
                }
                found = machine.get_sections_since(revision)
                self.assertEqual(expected, {section.name for section in found})
                self.assertEqual(len(expected), len(found))

    def test_all_or_none(self) -> None:
        """A change of several sections is applied to all of them or to none."""
        machine = StateMachine()
        sections = [SectionChange("pools.p", 0, POOL), SectionChange("models.m", 3, "")]
        result = machine.apply(ApplyChange("1", "root", sections))
        self.assertEqual("version_conflict", result.error_code)
        self.assertEqual({}, machine.state.sections)

    def test_references(self) -> None:
        """A section that another one refers to cannot be removed."""
        machine = StateMachine()
        machine.apply(make_change("1", "pools.p", 0, POOL))
        machine.apply(make_change("2", "models.m", 0, MODEL))
        result = machine.apply(make_change("3", "pools.p", 1, ""))
        self.assertEqual("invalid_document", result.error_code)
        self.assertIn("models.m.pool", result.detail)


class DocumentErrorTest(testtools.TestCase):
    """Invalid documents, and the split into sections."""

    scenarios = [
        ("unknown_field", {"text": POOL + "size = 3\n", "path": "pools.p"}),
        ("wrong_type", {"text": POOL + "capacity_floor = 2\n", "path": ".capacity"}),
        ("unknown_kind", {"text": '[things.p]\nowner = "x"\n', "path": "things.p"}),
        ("missing_pool", {"text": MODEL, "path": "models.m.pool"}),
        ("not_toml", {"text": POOL + "kind = = 1\n", "path": "pools.p"}),
        ("twice", {"text": POOL + MODEL + POOL, "path": "pools.p"}),
        ("no_section", {"text": "owner = 3\n", "path": "document"}),
    ]

    def test_error_has_path(self) -> None:
        """The error has the path to the invalid field or section."""
        error = self.assertRaises(InvalidDocumentError, parse_document, self.text)
        self.assertIn(self.path, error.detail)

    def test_sections_keep_their_text(self) -> None:
        """Each section keeps its text, with the comments right before its header."""
        text = POOL + "\n# about the model\n" + MODEL
        sections = split_sections(text)
        self.assertEqual("# about the model\n" + MODEL, sections["models.m"])
        self.assertEqual(text, "".join(sections.values()))
