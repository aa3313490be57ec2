"""Tests of `juniperward dead-letters` against a real store behind the agent's API."""

from __future__ import annotations

import json
from pathlib import Path
from unittest import mock

import pytest
from typer.testing import CliRunner, Result

from juniperward.agent import api
from juniperward.agent.dead_letter_service import DeadLetterService
from juniperward.agent.loop import Loop
from juniperward.agent.replies import ErrorReply
from juniperward.agent.running_fleet import ReportedDestinations
from juniperward.agent.store import StateStore
from juniperward.cli.main import app
from juniperward.cli.output import console
from juniperward.dead_letters.redrive_rules import Rule
from juniperward.dead_letters.redrive_settings import RedriveSettings
from juniperward.dead_letters.selection import SpoolPosition
from juniperward.settings.load import load
from tests.resources import Resources
from tests.test_dead_letter_store import spooled_message
from tests.test_settings import GOOD


class TestDeadLettersCli:
    @pytest.fixture(autouse=True)
    def set_up(self, resources: Resources, tmp_path: Path) -> None:
        self.resources = resources
        self.folder = tmp_path
        (self.folder / "base.json").write_text('{"settings": {}}')
        self.file = self.folder / "f.textproto"
        self.file.write_text(GOOD)
        fleet = load(self.file)
        fleet.folder.mkdir(mode=0o700)
        self.api = api.Api(
            fleet.socket,
            Loop(fleet, StateStore(fleet.folder), 1),
            lambda: ErrorReply("no reload here"),
            lambda _: None,
        )
        redrive = RedriveSettings((Rule("seven", frozenset({7})),))
        self.service = DeadLetterService(fleet.folder, redrive, list, dict)
        self.resources.callback(self.service.store.close)
        self.api.serve_dead_letters(self.service)
        self.api.start()
        self.resources.callback(self.api.close)
        messages = [
            spooled_message(f"m{n}", 1000.0 + n, 7 if n < 250 else 8, 500.0 if n % 2 else None)
            for n in range(260)
        ]
        self.service.store.add("n0", messages, SpoolPosition(1, 1))
        self.service.fleet.reports["n0"] = ReportedDestinations(1e18, {}, {7: {"s-1"}, 8: {"s-1"}})

    def run_tool(self, *words: object, code: int = 0) -> Result:
        console.width = 240
        result = CliRunner().invoke(app, ["dead-letters", *(str(w) for w in words), "-a", str(self.file)])
        assert result.exit_code == code, result.output
        return result

    def test_lists_with_filters_pages_and_reasons(self) -> None:
        rows = json.loads(self.run_tool("list", "-o", "json", "-n", 1000).output)
        assert [r["id"] for r in rows] == [f"m{n}" for n in range(260)]
        assert (rows[0]["kind"], rows[0]["may_go"], rows[0]["wanted_by"]) == ("safe", True, "seven")
        assert (rows[1]["kind"], rows[1]["may_go"]) == ("uncertain", False)
        assert rows[254]["wanted_by"] == ""
        assert len(json.loads(self.run_tool("list", "--destination", 8, "-o", "json").output)) == 10
        assert "uncertain" in self.run_tool("list", "-n", 3).output
        self.run_tool("list", "--destination", 99)

    def test_a_body_is_shown_only_on_request_and_the_access_is_audited(self) -> None:
        assert "showed the body" not in self.run_tool("show", "m1").output
        assert "timeout" in self.run_tool("show", "m1").output
        found = json.loads(self.run_tool("show", "m1", "--body", "-o", "json").output)
        assert found["body"] == "eA=="
        assert "showed the body" in self.run_tool("audit").output
        self.run_tool("show", "none", code=1)

    def test_bulk_commands_print_counts_and_change_nothing_on_a_dry_run(self) -> None:
        self.run_tool("redrive", "--destination", 7, "--dry-run")
        assert json.loads(self.run_tool("stats", "-o", "json").output)["wished"] == 0
        assert "asked: 250 of 250" in self.run_tool("redrive", "--destination", 7).output
        assert "asked: 10 of 260" in self.run_tool("redrive", "--all").output
        assert "discarded: 2 of 2" in self.run_tool("discard", "m0", "m1").output
        assert "undone: 1 of 1" in self.run_tool("undo", "m0").output
        assert "no such message: none" in self.run_tool("redrive", "none", "m2", code=1).output
        self.run_tool("redrive", code=2)
        self.run_tool("discard", code=2)

    def test_the_former_command_resend_still_redrives_and_is_hidden(self) -> None:
        assert "asked: 250 of 250" in self.run_tool("resend", "--destination", 7).output
        assert json.loads(self.run_tool("stats", "-o", "json").output)["wished"] == 250
        listed = CliRunner().invoke(app, ["dead-letters", "--help"]).output
        assert "redrive" in listed
        assert "resend" not in listed

    def test_a_bulk_command_repeated_after_a_crash_applies_no_request_twice(
        self, subtests: pytest.Subtests
    ) -> None:
        """The command is killed before or after the agent has applied either of its two pages of up to 200."""
        from juniperward.cli import dead_letter_access, dead_letter_orders

        class SimulatedKill(BaseException):
            """Stands for SIGKILL: no handler of the command runs after it."""

        real_call = dead_letter_access.call
        for after_reply in (False, True):
            for killed_at_page in (1, 2):
                sent_pages = 0

                def call_until_killed(
                    *args: object,
                    killed_at_page: int = killed_at_page,
                    after_reply: bool = after_reply,
                    **options: object,
                ) -> object:
                    nonlocal sent_pages
                    sent_pages += args[2] == "resend"
                    reply = None
                    if after_reply or sent_pages < killed_at_page:
                        reply = real_call(*args, **options)  # type: ignore[arg-type]
                    if args[2] == "resend" and sent_pages == killed_at_page:
                        raise SimulatedKill
                    return reply if reply is not None else real_call(*args, **options)  # type: ignore[arg-type]

                with subtests.test(after_reply=after_reply, killed_at_page=killed_at_page):
                    with (
                        mock.patch.object(dead_letter_orders, "call", call_until_killed),
                        pytest.raises(SimulatedKill),
                    ):
                        CliRunner().invoke(
                            app,
                            ["dead-letters", "redrive", "--all", "-a", str(self.file)],
                            catch_exceptions=False,
                        )
                    requested = self.service.store.stats()["wished"]
                    assert requested == min(200 * (killed_at_page - 1 + after_reply), 260)
                    assert f"asked: {260 - requested} of 260" in self.run_tool("redrive", "--all").output
                    ids = [f"m{n}" for n in range(260)]
                    assert self.service.store.undo(ids, "test") == 260  # Each redrive was requested once.
        requests = [
            r["message"] for r in self.service.store.audit(0, 10000) if r["what"] == "asked for a resend"
        ]
        assert len(requests) == 4 * 260

    def test_settles_exports_checks_and_backs_up(self) -> None:
        self.run_tool("settle", "m1", "--delivered", "--why", "Mr Nair has it")
        self.run_tool("settle", "m3", "--not-delivered", "--why", "not in their book")
        self.run_tool("settle", "m1", "--delivered", "--why", "again", code=1)
        self.run_tool("settle", "m5", "--delivered", "--why", " ", code=1)
        rows = {r["id"]: r for r in json.loads(self.run_tool("list", "-o", "json").output)}
        assert (rows["m1"]["stand"], rows["m3"]["kind"]) == ("delivered", "safe")
        out = self.folder / "out.jsonl"
        self.run_tool("export", out, "--destination", 8)
        assert len([json.loads(x) for x in out.read_text().splitlines()]) == 10
        assert "0 faults" in self.run_tool("check").output
        self.run_tool("backup", self.folder / "copy.db")
        assert (self.folder / "copy.db").exists()

    def test_rules_are_checked_and_simulated(self) -> None:
        other = self.folder / "g.textproto"
        other.write_text(GOOD + 'kept { on: true\n rule { name: "x" destination: 8 }\n rule { name: "x" } }')
        result = CliRunner().invoke(app, ["dead-letters", "rules", "check", str(other)])
        assert result.exit_code == 2
        assert "g.textproto:16: kept.rule[1].name: must be unique: another rule is named x" in result.output
        other.write_text(GOOD + 'kept { on: true rule { name: "x" destination: 8 } }')
        assert CliRunner().invoke(app, ["dead-letters", "rules", "check", str(other)]).exit_code == 0
        words = ["dead-letters", "rules", "simulate", str(other), "-a", str(self.file), "-o", "json"]
        found = json.loads(CliRunner().invoke(app, words).output)
        assert found["go"] == {"x": {"8": 5}}
        assert found["stay"]["uncertain"] == 130
        assert found["stay"]["no rule takes it"] == 125
        assert json.loads(self.run_tool("stats", "-o", "json").output)["wished"] == 0

    def test_an_agent_with_dead_letters_disabled_is_reported(self) -> None:
        self.api.queries.dead_letters = None
        assert "dead letters are disabled" in self.run_tool("stats", code=1).output
