"""The simulation: the same seed gives the same run, invariants are checked, and experiments resume after a kill."""

from __future__ import annotations

import dataclasses
import json
import random
import tempfile
import unittest
import zlib
from pathlib import Path
from typing import Any

from google.protobuf import text_format
from typer.testing import CliRunner

from juniperward.cli.main import app
from juniperward.scheduler.events import AttemptFinished, Outcome
from juniperward.settings.load import SettingsError
from juniperward.simulation.comparison import compare
from juniperward.simulation.experiment import ExperimentPlan, replay, run_scenario, sweep
from juniperward.simulation.policies import POLICIES, Baseline, DestinationQueue, NoRetry
from juniperward.simulation.report import write_report
from juniperward.simulation.result import Result, from_row, to_row
from juniperward.simulation.result_store import (
    ExperimentRunningError,
    ResultStore,
    read_parquet,
    write_parquet,
)
from juniperward.simulation.scenario_generator import generate, mutate, valid_text
from juniperward.simulation.scenario_loader import FOLDER, load, parse
from juniperward.simulation.search import Finding, evaluate, minimize, save, search
from juniperward.simulation.world import World

SMALL = """
shows: "a small day with an outage"
seconds: 12 forwarders: 2 slots: 12 max_open: 100
partners { count: 2 share: 0.6 workers: 2 latency: 0.06 rate: 20 batch: 5 }
partners { count: 4 share: 0.4 latency: 0.05 }
traffic { rate: 30 clumps: 0.2 clump: 6 again: 0.7 swing: 0.2 }
trouble { kind: DOWN at: 3 seconds: 4 partner: 1 }
"""


def result(policy: str, seed: int, utility: float) -> Result:
    lost, by_second = {"late": 0.1}, [[1.0, 0.9]]
    return Result(
        "s", "d", policy, seed, utility, 1, 1, 0, 0, 0.1, 0.2, 1, 0, 0, 0, 0, lost, by_second, 0.1, 5
    )


class ScenarioTest(unittest.TestCase):
    def test_all_scenario_files_are_valid_and_have_a_description(self) -> None:
        files = sorted(FOLDER.glob("*.textproto"))
        self.assertGreaterEqual(len(files), 12)
        for file in files:
            self.assertGreater(len(load(file).description), 20, file)

    def test_errors_name_line_and_field(self) -> None:
        for old, new, line, field in (
            ("seconds: 12", "seconds: 0", 3, "seconds"),
            ("count: 4", "count: 0", 5, "partners[1].count"),
            ("partner: 1 }", "partner: 9 }", 7, "trouble[0].partner"),
            ("kind: DOWN", "kind: NONE", 7, "trouble[0].kind"),
            ("clumps: 0.2", "clumps: 2", 6, "traffic[0].clumps"),
        ):
            with self.subTest(field), self.assertRaises(SettingsError) as caught:
                parse(SMALL.replace(old, new), "f.textproto")
            self.assertIn((line, field), [(f.line, f.field) for f in caught.exception.faults])


class WorldTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self) -> None:
        def run(policy: str, seed: int) -> dict[str, Any]:
            found = run_scenario(SMALL, "small", policy, seed)
            return {f: getattr(found, f) for f in Result.__slots__ if f != "wall_time_s"}

        for policy in POLICIES:
            self.assertEqual(run(policy, 3), run(policy, 3), policy)
        self.assertNotEqual(run("juniperward", 3)["by_second"], run("juniperward", 4)["by_second"])

    def test_policies_of_one_seed_get_the_same_arrivals(self) -> None:
        arrivals = set()
        for policy in POLICIES:
            result = run_scenario(SMALL, "small", policy, 5)
            arrivals.add(tuple(requested for requested, _ in result.by_second))
        self.assertEqual(len(arrivals), 1)

    def test_our_scheduler_violates_no_invariant_and_beats_no_retry(self) -> None:
        ours, least = (
            run_scenario(SMALL, "small", "juniperward", 1),
            run_scenario(SMALL, "small", "no-retry", 1),
        )
        self.assertEqual(
            (ours.duplicate_effects, ours.retry_after_violations, ours.destinations_crashed), (0, 0, 0)
        )
        self.assertGreater(ours.utility, least.utility)
        self.assertAlmostEqual(ours.utility + sum(ours.utility_lost.values()), 1.0, places=6)

    def test_violations_of_a_policy_are_counted(self) -> None:
        class Aggressive(Baseline):
            """Ignores Retry-After and backoff."""

            max_attempts = 1000

            def _attempt_finished(self, event: AttemptFinished) -> None:
                super()._attempt_finished(event)
                destination = self.destinations[self._destination_of[event.endpoint]]
                destination.retry_after_until = 0.0
                message = self.pending.get(event.message)
                if message is not None:
                    message.not_before_s = self.now
                    message.first_executed_s = None

        text = SMALL.replace("kind: DOWN", "kind: SHUT").replace("rate: 30", "rate: 60")
        found = World(parse(text, "s"), Aggressive, 1).run()
        self.assertGreater(found.retry_after_violations, 10)
        self.assertGreater(found.destinations_crashed, 0)

    def test_every_message_has_one_outcome_with_every_policy(self) -> None:
        for name, policy in POLICIES.items():
            for kind in ("SILENT", "FAILING", "KILL", "SLOW", "HOT"):
                text = SMALL.replace("kind: DOWN", f"kind: {kind}")
                found = World(parse(text, "s"), policy, 2).run()
                self.assertEqual(found.unfinished, 0, (name, kind))
                self.assertEqual(found.duplicate_effects, 0, (name, kind))


class UnresponsiveTest(unittest.TestCase):
    def test_calls_to_an_unresponsive_destination_end_with_the_fault_and_free_their_slots(self) -> None:
        """On sockets connections end with the fault; a model without that was wrong by up to 0.16 of utility."""
        ended: list[tuple[Outcome, float]] = []

        class Recording(NoRetry):
            """Records how calls end."""

            def observe(self, _destination: DestinationQueue, event: AttemptFinished, /) -> None:
                ended.append((event.outcome, self.now))

        world = World(parse(SMALL.replace("kind: DOWN", "kind: SILENT"), "s"), Recording, 1)
        world.run()
        reset = [at for outcome, at in ended if outcome is Outcome.RESET]
        self.assertGreater(len(reset), 5)
        self.assertTrue(all(7.0 <= at <= 7.1 for at in reset))
        self.assertNotIn(Outcome.TIMEOUT, [outcome for outcome, _ in ended])
        self.assertFalse([endpoint for endpoint in world.endpoints if endpoint.unanswered])


class SlowStartTest(unittest.TestCase):
    def test_a_destination_in_slow_start_is_slow_and_has_its_agreed_rate_limit(self) -> None:
        """As in the fakes: a reduced limit sent Retry-After values that spared aggressive policies a crash."""
        text = SMALL.replace("rate: 30", "rate: 90")
        self.assertEqual(World(parse(text, "s"), POLICIES["round-robin"], 1).run().destinations_crashed, 1)
        self.assertEqual(World(parse(text, "s"), POLICIES["juniperward"], 1).run().destinations_crashed, 0)


class OracleTest(unittest.TestCase):
    def test_it_violates_no_invariant_and_no_policy_is_much_better(self) -> None:
        for kind in ("DOWN", "SHUT"):
            text = SMALL.replace("kind: DOWN", f"kind: {kind}").replace("rate: 30", "rate: 60")
            top = run_scenario(text, "small", "oracle", 1)
            self.assertEqual(
                (top.duplicate_effects, top.retry_after_violations, top.destinations_crashed), (0, 0, 0), kind
            )
            for policy in POLICIES:
                self.assertLess(
                    run_scenario(text, "small", policy, 1).utility, top.utility + 0.005, (kind, policy)
                )


class SearchTest(unittest.TestCase):
    def test_the_same_seed_finds_the_same_scenarios_and_most_are_valid(self) -> None:
        def days(seed: int) -> list[str | None]:
            dice = random.Random(seed)
            made = [generate(dice) for _ in range(30)]
            return [valid_text(m) for m in made] + [
                valid_text(mutate(text_format.MessageToString(m), dice)) for m in made
            ]

        self.assertEqual(days(1), days(1))
        self.assertNotEqual(days(1), days(2))
        self.assertGreater(len([d for d in days(1) if d]), 50)

    def test_a_policy_with_a_planted_fault_is_found_and_its_scenario_minimized(self) -> None:
        found = search("no-retry", 3, 7, 1)
        self.assertEqual([f.regret for f in found], sorted((f.regret for f in found), reverse=True))
        text = SMALL + "trouble { kind: SLOW at: 1 seconds: 2 partner: 4 }"
        text += "trouble { kind: HOT at: 2 seconds: 2 partner: 3 }"
        bad = evaluate(text, "no-retry", 1)
        self.assertGreater(bad.regret, 0.01)
        small = minimize(bad, "no-retry", max_runs=12)
        self.assertGreaterEqual(small.regret, 0.8 * bad.regret)
        self.assertLess(small.text.count("trouble"), 3)
        with tempfile.TemporaryDirectory() as folder:
            file = save(small, "no-retry", Path(folder))
            self.assertIn("found by the search", load(file).description)
            self.assertNotEqual(save(small, "no-retry", Path(folder)), file)

    def test_the_command_has_its_former_name_for_one_release(self) -> None:
        runner = CliRunner()
        new, old = (
            runner.invoke(app, ["simulate", verb, "--rounds", "0", "--keep", "0"])
            for verb in ("search", "hunt")
        )
        self.assertEqual((new.exit_code, old.exit_code), (0, 0), old.output)
        self.assertIn("deprecated", old.output)
        self.assertNotIn("deprecated", new.output)
        self.assertNotIn("hunt", runner.invoke(app, ["simulate", "--help"]).output)

    def test_a_violated_invariant_counts_for_more_than_any_utility(self) -> None:
        self.assertGreater(Finding("", 1, 1.0, 1.0, 1).regret, Finding("", 1, 0.0, 1.0, 0).regret)


class ExperimentTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_a_sweep_that_was_killed_resumes(self) -> None:
        s = parse(SMALL, "small.textproto")
        first = sweep(self.folder, ExperimentPlan([s], ["no-retry"], [1, 2], 1))
        file = self.folder / "results.jsonl"
        complete = file.read_bytes()
        file.write_bytes(complete[:-20])  # the second was torn by a kill
        ran: list[int] = []
        again = sweep(
            self.folder,
            ExperimentPlan([s], ["no-retry"], [1, 2], 1),
            lambda _done, _total, r: ran.append(r.seed),
        )
        self.assertEqual([(r.seed, r.utility) for r in again], [(r.seed, r.utility) for r in first])
        self.assertEqual(len(ran), 1)
        sweep(
            self.folder,
            ExperimentPlan([s], ["no-retry"], [1, 2], 1),
            lambda _done, _total, r: ran.append(r.seed),
        )
        self.assertEqual(len(ran), 1)

    def test_one_writer_a_folder_and_results_are_read_back(self) -> None:
        mine = ResultStore(self.folder)
        mine.add(result("a", 1, 0.5))
        with self.assertRaises(ExperimentRunningError):
            ResultStore(self.folder)
        mine.close()
        again = ResultStore(self.folder)
        self.assertEqual(list(again.results.values()), [result("a", 1, 0.5)])
        again.close()

    def test_parquet_has_all_that_a_replay_needs(self) -> None:
        s = parse(SMALL, "small.textproto")
        sweep(self.folder, ExperimentPlan([s], ["juniperward", "oracle"], [1], 1))
        stored = read_parquet(self.folder / "results.parquet")
        self.assertEqual(
            [(r.scenario_text, r.policy) for r in stored], [(SMALL, "juniperward"), (SMALL, "oracle")]
        )
        self.assertIn("cores", stored[0].machine)
        self.assertEqual(replay(stored[0]), {})
        tampered = dataclasses.replace(stored[0], utility=0.5)
        self.assertEqual(replay(tampered), {"utility": (0.5, stored[0].utility)})
        words = ["simulate", "replay", "small", "-p", "oracle", "--out", str(self.folder)]
        shown = CliRunner().invoke(app, words)
        self.assertEqual((shown.exit_code, "the same" in shown.output), (0, True))
        self.assertEqual(
            CliRunner().invoke(app, ["simulate", "replay", "x", "--out", str(self.folder)]).exit_code, 1
        )

    def test_the_names_of_stored_columns_stay(self) -> None:
        names = (
            "scenario digest policy seed worth asked delivered refused failed median p99 calls calls_refused "
            "second_effects waits_broken fallen lost by_second wall events text revision machine v"
        )
        row = to_row(result("a", 1, 0.5))
        self.assertEqual(list(row), names.split())
        self.assertEqual(from_row(row), result("a", 1, 0.5))

    def test_results_of_the_first_version_are_read_and_newer_ones_rejected(self) -> None:
        old = to_row(result("a", 1, 0.5)) | {"v": 1}
        for field in ("text", "revision", "machine"):
            del old[field]
        text = json.dumps(old).encode()
        (self.folder / "results.jsonl").write_bytes(b"%08x %s\n" % (zlib.crc32(text), text))
        found = ResultStore(self.folder)
        (row,) = found.results.values()
        found.close()
        self.assertEqual((row.version, row.utility, row.scenario_text), (1, 0.5, ""))
        with self.assertRaises(ValueError):
            replay(row)
        write_parquet(self.folder / "r.parquet", [dataclasses.replace(row, version=99)])
        with self.assertRaisesRegex(ValueError, "written by version 99"):
            read_parquet(self.folder / "r.parquet")

    def test_comparisons_are_paired_and_tell_no_difference_from_one(self) -> None:
        noise = [0.0, 0.1, 0.2, 0.3, 0.1, 0.2]
        results = [result("juniperward", n, 0.6 + x) for n, x in enumerate(noise)]
        results += [result("worse", n, 0.55 + x) for n, x in enumerate(noise)]
        results += [result("other", n, 0.6 + x) for n, x in enumerate(reversed(noise))]
        (worse,) = compare(results, "juniperward", "worse")
        self.assertEqual(
            (worse.verdict, round(worse.mean, 6), worse.seeds), ("juniperward is better", 0.05, 6)
        )
        (other,) = compare(results, "juniperward", "other")
        self.assertEqual(other.verdict, "no difference seen")
        page = self.folder / "page.html"
        write_report(results, {"s": "x < y"}, page, "again")
        text = page.read_text()
        self.assertIn("<svg", text)
        self.assertIn("x &lt; y", text)
        self.assertNotIn("<script", text)

    def test_the_commands(self) -> None:
        file = self.folder / "small.textproto"
        file.write_text(SMALL)
        tool = CliRunner()
        found = json.loads(
            tool.invoke(app, ["simulate", "run", str(file), "-p", "no-retry", "-o", "json"]).output
        )
        self.assertEqual(found["worth"], run_scenario(SMALL, "small", "no-retry", 1).utility)
        words = [
            "simulate",
            "sweep",
            str(file),
            "-p",
            "no-retry",
            "--seeds",
            "1",
            "--processes",
            "1",
            "--out",
        ]
        self.assertEqual(tool.invoke(app, [*words, str(self.folder / "o")]).exit_code, 0)
        self.assertIn("no-retry", (self.folder / "o" / "table.md").read_text())
        self.assertEqual(tool.invoke(app, ["simulate", "run", str(file), "-p", "x"]).exit_code, 2)
        self.assertIn("policies", tool.invoke(app, ["simulate", "list"]).output)
        self.assertIsInstance(NoRetry.retries, bool)


class FormerNamesTest(unittest.TestCase):
    def test_results_and_commands_with_the_former_name_of_the_policy_are_read(self) -> None:
        # Guards experiments on disk: their results would stand beside the new ones as another policy's.
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "results.parquet"
            result = run_scenario(SMALL, "small", "no-retry", 1)
            former = [dataclasses.replace(result, policy=name) for name in ("nickelscale", "one-try")]
            write_parquet(file, former)
            self.assertEqual([r.policy for r in read_parquet(file)], ["juniperward", "no-retry"])
        tool = CliRunner()
        found = tool.invoke(
            app, ["lab", "run", str(FOLDER / "calm.textproto"), "-p", "nickelscale", "-o", "json"]
        )
        self.assertEqual(found.exit_code, 0, found.output)
        scenario = str(FOLDER / "calm.textproto")
        found = tool.invoke(app, ["simulate", "run", scenario, "-p", "one-try", "-o", "json"])
        self.assertEqual(json.loads(found.output)["policy"], "no-retry")

    def test_a_comparison_takes_a_former_name(self) -> None:
        # Guards the command's output: the results have the present name, so a former one compared with nothing.
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "small.textproto"
            file.write_text(SMALL)
            words = ["simulate", "compare", "juniperward", "one-try", "-s", str(file), "--seeds", "2"]
            options = ["--processes", "1", "--out", str(Path(name) / "out"), "-o", "json"]
            (row,) = json.loads(CliRunner().invoke(app, words + options).output)
        self.assertEqual((row["one"], row["other"], row["seeds"]), ("juniperward", "no-retry", 2))
