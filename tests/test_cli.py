"""Tests of the commands against agents that are scripted, do not answer or do not exist."""

from __future__ import annotations

import json
import socket
import tempfile
import threading
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
from typer.testing import CliRunner, Result

from juniperward.agent.views import status as status_view
from juniperward.cli import roll
from juniperward.cli.main import app
from juniperward.cli.output import console
from juniperward.net.http_errors import ConnectionClosedError
from juniperward.net.http_requests import read_request
from juniperward.net.http_responses import encode_response
from juniperward.net.stream import Stream
from tests.agent_world import World
from tests.test_settings import GOOD


class ScriptedAgent:
    """Answers each verb with the status and body that a function returns for the request's body."""

    def __init__(self, path: Path, answers: dict[str, Callable[[dict[str, Any]], tuple[int, Any]]]) -> None:
        self.answers, self.requests = answers, list[tuple[str, dict[str, Any]]]()
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.bind(str(path))
        self.listener.listen(8)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with sock:
                try:
                    request = read_request(Stream(sock.recv))
                except ConnectionClosedError:
                    continue
                verb, body = request.path.removeprefix("/v1/"), json.loads(request.body)
                self.requests.append((verb, body))
                status, answer = self.answers[verb](body)
                sock.sendall(encode_response(status, {}, json.dumps(answer).encode(), True))


class CliTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.world = World()
        self.world.forwarders["n2"].suspended = True
        self.world.run(1.5)

    def start_agent(self, name: str, **answers: Callable[[dict[str, Any]], tuple[int, Any]]) -> Path:
        path = self.folder / name / "agent.sock"
        path.parent.mkdir()

        def status(_: dict[str, Any]) -> tuple[int, Any]:
            return 200, msgspec.to_builtins(status_view(self.world.reducer.state, self.world.now))

        self.scripted = ScriptedAgent(path, {"status": status, **answers})
        self.addCleanup(self.scripted.listener.close)
        return path

    def run_tool(self, *words: object) -> Result:
        console.width = 240
        return CliRunner().invoke(app, [str(w) for w in words])

    def test_a_benchmark_runs_by_its_name_and_its_former_alias(self) -> None:
        from juniperward.benchmarks import measurements

        ran: list[str] = []
        given: list[tuple[object, ...]] = []

        def fake_measurement(name: str) -> Callable[..., bool]:
            def run(*arguments: object, **options: object) -> bool:
                ran.append(name)
                given.append((*arguments, options))
                return True

            return run

        with mock.patch.dict(
            measurements.MEASUREMENTS, {name: fake_measurement(name) for name in measurements.MEASUREMENTS}
        ):
            former = ("kept", "cold", "keeping", "store")
            for name in (*former, "dead-letters", "slow-start"):
                self.assertEqual(CliRunner().invoke(app, ["measure", name]).exit_code, 0, name)
            wrong = CliRunner().invoke(app, ["measure", "none"])
            sized = ["measure", "chaos", "--seed", "7", "--out", "x", "--rounds", "3", "--rate", "9.5"]
            self.assertEqual(CliRunner().invoke(app, sized).exit_code, 0)
        self.assertEqual(
            ran,
            [
                "dead-letters",
                "slow-start",
                "dead-letter-cost",
                "dead-letter-store",
                "dead-letters",
                "slow-start",
                "chaos",
            ],
        )
        self.assertEqual(given[0], (1, Path("docs/measurements"), {}))
        self.assertEqual(given[-1], (7, Path("x"), {"rounds": 3, "rate": 9.5}))
        self.assertEqual(wrong.exit_code, 2)
        self.assertIn("slow-start", wrong.output)
        self.assertNotIn("cold", wrong.output)

    def test_status_shows_every_instance_and_the_unresponsive_agent(self) -> None:
        one, mute = self.start_agent("one"), self.folder / "mute.sock"
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            listener.bind(str(mute))
            listener.listen(8)
            result = self.run_tool("fleet", "status", "-a", mute, "-a", one, "-t", 0.4)
            self.assertEqual(result.exit_code, 3, result.output)
            self.assertIn("no complete answer within 0.4 s", result.output)
            for text in ("n0", "n1", "n2", "ready", "silent"):
                self.assertIn(text, result.output)
            result = self.run_tool("fleet", "status", "-a", mute, "-a", one, "-t", 0.4, "-o", "json")
        rows = json.loads(result.output)
        self.assertIsNone(rows[1]["error"])
        self.assertEqual([r["state"] for r in rows[1]["instances"]], ["ready", "ready", "silent"])
        self.assertEqual(
            set(rows[1]["instances"][0]),
            {"name", "state", "wanted", "why", "pid", "up", "edition", "stale", "crashes", "age", "held", "owing",
             "calls_out", "slots", "taken_on", "delivered", "calls_failed", "given_up", "turned_away", "sick",
             "broken", "oldest_held", "journal_bytes", "registry_age"},
        )  # fmt: skip

    def test_a_command_is_sent_to_the_agent_that_runs_the_instance(self) -> None:
        def done(body: dict[str, Any]) -> tuple[int, Any]:
            return 200, {"done": "drain", "instances": body["names"]}

        one = self.start_agent("one", drain=done)
        result = self.run_tool("fleet", "drain", "n1", "-a", one, "-a", self.folder / "none.sock")
        self.assertEqual((result.exit_code, result.output.strip()), (0, "one: drain: n1"))
        self.assertEqual(self.scripted.requests[-1], ("drain", {"names": ["n1"], "options": {}}))
        result = self.run_tool("fleet", "drain", "n7", "-a", one, "-a", self.folder / "none.sock")
        self.assertEqual(result.exit_code, 3)

    def test_a_rejection_is_reported(self) -> None:
        one = self.start_agent("one", roll=lambda _: (409, {"error": "roll r1 is under way"}))
        result = self.run_tool("fleet", "roll", "-a", one)
        self.assertEqual(result.exit_code, 1)

    def test_a_roll_is_followed_to_its_end_or_pause(self) -> None:
        def view(mode: str, stage: str) -> dict[str, Any]:
            step = {"instance": "n0", "stage": stage, "note": "", "before": "a"}
            return {
                "id": "r1",
                "mode": mode,
                "why": "x",
                "target": "b",
                "over": mode == "done",
                "steps": [step],
            }

        for last, code in (("done", 0), ("paused", 4)):
            end = view(last, "done")
            path = self.start_agent(
                last,
                roll=lambda _: (200, view("going", "draining")),
                roll_show=lambda _, e=end: (200, e),  # type: ignore[misc]
            )
            with mock.patch.object(roll, "POLL_INTERVAL_S", 0.0):
                result = self.run_tool("fleet", "roll", "-a", path)
            self.assertEqual(result.exit_code, code)
            self.assertIn(f"roll r1 is {last}", result.output)

    def test_a_dry_run_prints_the_plan(self) -> None:
        def plan(body: dict[str, Any]) -> tuple[int, Any]:
            return 200, self.world.request(
                "roll", **{k: v for k, v in body["options"].items() if v is not None}
            ).body

        one = self.start_agent("one", roll=plan)
        result = self.run_tool("fleet", "roll", "--dry-run", "--floor", 1, "-a", one)
        self.assertEqual(result.exit_code, 0)
        self.assertLess(result.output.index("n2"), result.output.index("n0"))  # The silent instance is first.
        result = self.run_tool("fleet", "roll", "fly", "-a", one)
        self.assertEqual(result.exit_code, 2)

    def test_config_is_checked_without_an_agent(self) -> None:
        (self.folder / "base.json").write_text('{"settings": {}}')
        file = self.folder / "f.textproto"
        file.write_text(GOOD.replace("floor: 1", "floor: 2"))
        result = self.run_tool("config", "check", file)
        self.assertEqual(result.exit_code, 2)
        self.assertIn("f.textproto:12: roll.floor: must be below 2, not 2: with 2 running", result.output)
        rows = json.loads(self.run_tool("config", "check", file, "-o", "json").output)
        self.assertEqual((rows["faults"][0]["line"], rows["faults"][0]["field"]), (12, "roll.floor"))
        file.write_text(GOOD)
        self.assertEqual(self.run_tool("config", "check", file).exit_code, 0)
        self.assertIn("soak_most: 15", self.run_tool("config", "show", file).output)
        self.assertIn("message Fleet", self.run_tool("config", "schema").output)

    def test_events_of_several_agents_are_sorted_by_time(self) -> None:
        def events(at: float, text: str) -> Callable[[dict[str, Any]], tuple[int, Any]]:
            return lambda _: (
                200,
                {"events": [{"seq": 1, "at": at, "event": text, "level": "info", "roll": "r1"}]},
            )

        two = self.start_agent("two", events=events(20.0, "second"))
        one = self.start_agent("one", events=events(10.0, "first"))
        result = self.run_tool("fleet", "events", "-a", two, "-a", one)
        self.assertLess(result.output.index("first roll=r1"), result.output.index("second"))
        result = self.run_tool("fleet", "watch", "-a", one, "--seconds", 0.01)
        self.assertEqual(result.exit_code, 0)

    def test_inspect_shows_which_requests_were_not_answered(self) -> None:
        body = {"name": "n2", "unanswered": ["status: no answer within 1 s"]}
        one = self.start_agent(
            "one", inspect=lambda _: (200, body), logs=lambda _: (200, {"lines": ["a", "b"]})
        )
        result = self.run_tool("fleet", "inspect", "n2", "-a", one)
        self.assertEqual(result.exit_code, 3)
        self.assertIn("no answer: status", result.output)
        self.assertEqual(self.run_tool("fleet", "logs", "n2", "-a", one).output, "a\nb\n")
