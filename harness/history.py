"""Recorded requests and answers of a run, and checks of their properties."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .caller import Answer, Caller
from .cluster import Cluster


@dataclass
class Record:
    """One request and its answer."""

    kind: str
    """`question` for a completion, or `order`."""
    caller: Caller
    entry: str
    started_s: float
    answer: Answer
    prompt: str = ""
    max_tokens: int = 0
    key: str = ""
    is_resend: bool = False


@dataclass
class Verdict:
    """Result of one property: how often it was checked, and its violations."""

    name: str
    checked: int = 0
    violations: list[str] = field(default_factory=list)

    def expect(self, holds: bool, violation: str) -> None:
        """Count a check, and record a violation unless the condition holds."""
        self.checked += 1
        if not holds:
            self.violations.append(violation)

    def render(self, seed: int) -> str:
        """Return the result as one line of key=value pairs."""
        line = f"property={self.name} checked={self.checked} "
        line += f"violations={len(self.violations)} seed={seed}"
        return line + (f' first="{self.violations[0]}"' if self.violations else "")


class History:
    """The requests of a run with their answers."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def add(self, record: Record) -> None:
        """Add a request with its answer."""
        self.records.append(record)

    def count(self, **expected_fields: object) -> int:
        """Return the number of answers whose fields have the given values."""
        return sum(
            all(
                getattr(record.answer, key) == value
                for key, value in expected_fields.items()
            )
            for record in self.records
        )

    def check_answers(self, versions: Iterable[str] = ("v1",)) -> Verdict:
        """Check that every complete answer is right for one of the weight versions."""
        verdict = Verdict("whole_right_answers")
        for record in self.records:
            if record.kind != "question" or not record.answer.is_complete:
                continue
            expected = {
                record.caller.get_expected_text(
                    record.prompt, record.max_tokens, version
                )
                for version in versions
            }
            verdict.expect(
                record.answer.text in expected,
                f"{record.caller.organisation} at {record.entry}",
            )
        return verdict

    def check_orders(self, cluster: Cluster) -> list[Verdict]:
        """Check how often orders ran against their answers.

        An order runs at most once, never if all its sends were refused as not run,
        and exactly once, with one answer, if it was confirmed.
        """
        at_most_once = Verdict("at_most_once")
        not_run = Verdict("not_run_is_true")
        answered = Verdict("answered_order_ran")
        runs = cluster.read_orders()
        by_key: dict[str, list[Record]] = {}
        for record in self.records:
            if record.kind == "order":
                name = f"{record.caller.organisation}/{record.key}"
                by_key.setdefault(name, []).append(record)
        for name, records in by_key.items():
            count = runs.get(name, 0)
            at_most_once.expect(count <= 1, f"{name} ran {count} times")
            if all(record.answer.is_refused for record in records):
                not_run.expect(count == 0, f"{name} was refused as not run and ran")
            bodies = {r.answer.body for r in records if r.answer.status == 201}
            if bodies:
                answered.expect(
                    count == 1 and len(bodies) == 1, f"{name}: {count} runs, {bodies}"
                )
        return [at_most_once, not_run, answered]

    def summarise(self) -> str:
        """Return counts of outcomes as one line of key=value pairs."""
        completed = sum(
            record.answer.is_complete and not record.answer.code
            for record in self.records
        )
        refused = sum(record.answer.is_refused for record in self.records)
        unknown = sum(record.answer.run == "unknown" for record in self.records)
        return (
            f"requests={len(self.records)} completed={completed} "
            f"refused_not_run={refused} unknown={unknown}"
        )
