"""Tests of the simulation: reproducible runs, invariants, and experiments that resume after a kill."""

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
from juniperward.simulation.scenario_loader import SCENARIOS_FOLDER, load, parse
from juniperward.simulation.search import Finding, evaluate, minimize, save, search
from juniperward.simulation.world import World

SCENARIO_TEXT = """
shows: "a small scenario with an outage"
seconds: 12 forwarders: 2 slots: 12 max_open: 100
partners { count: 2 share: 0.6 workers: 2 latency: 0.06 rate: 20 batch: 5 }
partners { count: 4 share: 0.4 latency: 0.05 }
traffic { rate: 30 clumps: 0.2 clump: 6 again: 0.7 swing: 0.2 }
trouble { kind: DOWN at: 3 seconds: 4 partner: 1 }
"""


def make_result(policy: str, seed: int, utility: float) -> Result:
    lost, by_second = {"late": 0.1}, [[1.0, 0.9]]
    return Result(
        "s", "d", policy, seed, utility, 1, 1, 0, 0, 0.1, 0.2, 1, 0, 0, 0, 0, lost, by_second, 0.1, 5
    )


class ScenarioTest(unittest.TestCase):
    def test_all_scenario_files_are_valid_and_have_a_description(self) -> None:
        files = sorted(SCENARIOS_FOLDER.glob("*.textproto"))
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
                parse(SCENARIO_TEXT.replace(old, new), "f.textproto")
            self.assertIn((line, field), [(f.line, f.field) for f in caught.exception.faults])


class WorldTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self) -> None:
        def run(policy: str, seed: int) -> dict[str, Any]:
            run_result = run_scenario(SCENARIO_TEXT, "small", policy, seed)
            return {field: getattr(run_result, field) for field in Result.__slots__ if field != "wall_time_s"}

        for policy in POLICIES:
            self.assertEqual(run(policy, 3), run(policy, 3), policy)
        self.assertNotEqual(run("juniperward", 3)["by_second"], run("juniperward", 4)["by_second"])

    def test_policies_of_one_seed_get_the_same_arrivals(self) -> None:
        arrivals = set()
        for policy in POLICIES:
            run_result = run_scenario(SCENARIO_TEXT, "small", policy, 5)
            arrivals.add(tuple(requested for requested, _ in run_result.by_second))
        self.assertEqual(len(arrivals), 1)

    def test_scheduler_violates_no_invariant_and_beats_no_retry(self) -> None:
        scheduler = run_scenario(SCENARIO_TEXT, "small", "juniperward", 1)
        no_retry = run_scenario(SCENARIO_TEXT, "small", "no-retry", 1)
        self.assertEqual(
            (scheduler.duplicate_effects, scheduler.retry_after_violations, scheduler.destinations_crashed),
            (0, 0, 0),
        )
        self.assertGreater(scheduler.utility, no_retry.utility)
        self.assertAlmostEqual(scheduler.utility + sum(scheduler.utility_lost.values()), 1.0, places=6)

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

        text = SCENARIO_TEXT.replace("kind: DOWN", "kind: SHUT").replace("rate: 30", "rate: 60")
        run_result = World(parse(text, "s"), Aggressive, 1).run()
        self.assertGreater(run_result.retry_after_violations, 10)
        self.assertGreater(run_result.destinations_crashed, 0)

    def test_every_message_has_one_outcome_with_every_policy(self) -> None:
        for name, policy in POLICIES.items():
            for kind in ("SILENT", "FAILING", "KILL", "SLOW", "HOT"):
                text = SCENARIO_TEXT.replace("kind: DOWN", f"kind: {kind}")
                run_result = World(parse(text, "s"), policy, 2).run()
                self.assertEqual(run_result.unfinished, 0, (name, kind))
                self.assertEqual(run_result.duplicate_effects, 0, (name, kind))


class UnresponsiveTest(unittest.TestCase):
    def test_calls_to_an_unresponsive_destination_end_with_the_fault_and_free_their_slots(self) -> None:
        """The end of the fault resets connections, as on sockets; calls must not wait for their timeouts."""
        ended: list[tuple[Outcome, float]] = []

        class Recording(NoRetry):
            """Records the outcomes of calls."""

            def observe(self, _destination: DestinationQueue, event: AttemptFinished, /) -> None:
                ended.append((event.outcome, self.now))

        world = World(parse(SCENARIO_TEXT.replace("kind: DOWN", "kind: SILENT"), "s"), Recording, 1)
        world.run()
        reset = [at for outcome, at in ended if outcome is Outcome.RESET]
        self.assertGreater(len(reset), 5)
        self.assertTrue(all(7.0 <= at <= 7.1 for at in reset))
        self.assertNotIn(Outcome.TIMEOUT, [outcome for outcome, _ in ended])
        self.assertFalse([endpoint for endpoint in world.endpoints if endpoint.unanswered])


class SlowStartTest(unittest.TestCase):
    def test_a_destination_in_slow_start_is_slow_and_keeps_its_rate_limit(self) -> None:
        """A rate limit reduced in slow start would protect the destination from aggressive policies."""
        text = SCENARIO_TEXT.replace("rate: 30", "rate: 90")
        self.assertEqual(World(parse(text, "s"), POLICIES["round-robin"], 1).run().destinations_crashed, 1)
        self.assertEqual(World(parse(text, "s"), POLICIES["juniperward"], 1).run().destinations_crashed, 0)


class OracleTest(unittest.TestCase):
    def test_oracle_violates_no_invariant_and_no_policy_is_much_better(self) -> None:
        for kind in ("DOWN", "SHUT"):
            text = SCENARIO_TEXT.replace("kind: DOWN", f"kind: {kind}").replace("rate: 30", "rate: 60")
            oracle = run_scenario(text, "small", "oracle", 1)
            self.assertEqual(
                (oracle.duplicate_effects, oracle.retry_after_violations, oracle.destinations_crashed),
                (0, 0, 0),
                kind,
            )
            for policy in POLICIES:
                self.assertLess(
                    run_scenario(text, "small", policy, 1).utility, oracle.utility + 0.005, (kind, policy)
                )


class SearchTest(unittest.TestCase):
    def test_the_same_seed_finds_the_same_scenarios_and_most_are_valid(self) -> None:
        def scenario_texts(seed: int) -> list[str | None]:
            source = random.Random(seed)
            generated = [generate(source) for _ in range(30)]
            return [valid_text(message) for message in generated] + [
                valid_text(mutate(text_format.MessageToString(message), source)) for message in generated
            ]

        self.assertEqual(scenario_texts(1), scenario_texts(1))
        self.assertNotEqual(scenario_texts(1), scenario_texts(2))
        self.assertGreater(len([text for text in scenario_texts(1) if text]), 50)

    def test_scenarios_of_a_weak_policy_are_ranked_minimized_and_saved(self) -> None:
        findings = search("no-retry", 3, 7, 1)
        regrets = [finding.regret for finding in findings]
        self.assertEqual(regrets, sorted(regrets, reverse=True))
        text = SCENARIO_TEXT + "trouble { kind: SLOW at: 1 seconds: 2 partner: 4 }"
        text += "trouble { kind: HOT at: 2 seconds: 2 partner: 3 }"
        finding = evaluate(text, "no-retry", 1)
        self.assertGreater(finding.regret, 0.01)
        minimized = minimize(finding, "no-retry", max_runs=12)
        self.assertGreaterEqual(minimized.regret, 0.8 * finding.regret)
        self.assertLess(minimized.text.count("trouble"), 3)
        with tempfile.TemporaryDirectory() as folder:
            file = save(minimized, "no-retry", Path(folder))
            self.assertIn("found by the search", load(file).description)
            self.assertNotEqual(save(minimized, "no-retry", Path(folder)), file)

    def test_the_former_name_of_the_command_works_and_is_deprecated(self) -> None:
        runner = CliRunner()
        new, old = (
            runner.invoke(app, ["simulate", command, "--rounds", "0", "--keep", "0"])
            for command in ("search", "hunt")
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
        plan = ExperimentPlan([parse(SCENARIO_TEXT, "small.textproto")], ["no-retry"], [1, 2], 1)
        first = sweep(self.folder, plan)
        file = self.folder / "results.jsonl"
        complete = file.read_bytes()
        file.write_bytes(complete[:-20])  # a kill while the second result was written
        seeds_run: list[int] = []

        def record_seed(_done: int, _planned: int, result: Result) -> None:
            seeds_run.append(result.seed)

        resumed = sweep(self.folder, plan, record_seed)
        self.assertEqual([(r.seed, r.utility) for r in resumed], [(r.seed, r.utility) for r in first])
        self.assertEqual(len(seeds_run), 1)
        sweep(self.folder, plan, record_seed)
        self.assertEqual(len(seeds_run), 1)

    def test_a_folder_has_one_writer_and_its_results_are_read_back(self) -> None:
        store = ResultStore(self.folder)
        store.add(make_result("a", 1, 0.5))
        with self.assertRaises(ExperimentRunningError):
            ResultStore(self.folder)
        store.close()
        reopened = ResultStore(self.folder)
        self.assertEqual(list(reopened.results.values()), [make_result("a", 1, 0.5)])
        reopened.close()

    def test_parquet_has_everything_that_a_replay_needs(self) -> None:
        scenario = parse(SCENARIO_TEXT, "small.textproto")
        sweep(self.folder, ExperimentPlan([scenario], ["juniperward", "oracle"], [1], 1))
        stored = read_parquet(self.folder / "results.parquet")
        self.assertEqual(
            [(r.scenario_text, r.policy) for r in stored],
            [(SCENARIO_TEXT, "juniperward"), (SCENARIO_TEXT, "oracle")],
        )
        self.assertIn("cores", stored[0].machine)
        self.assertEqual(replay(stored[0]), {})
        tampered = dataclasses.replace(stored[0], utility=0.5)
        self.assertEqual(replay(tampered), {"utility": (0.5, stored[0].utility)})
        arguments = ["simulate", "replay", "small", "-p", "oracle", "--out", str(self.folder)]
        replayed = CliRunner().invoke(app, arguments)
        self.assertEqual((replayed.exit_code, "the same" in replayed.output), (0, True))
        self.assertEqual(
            CliRunner().invoke(app, ["simulate", "replay", "x", "--out", str(self.folder)]).exit_code, 1
        )

    def test_stored_columns_keep_their_names(self) -> None:
        names = (
            "scenario digest policy seed worth asked delivered refused failed median p99 calls calls_refused "
            "second_effects waits_broken fallen lost by_second wall events text revision machine v"
        )
        row = to_row(make_result("a", 1, 0.5))
        self.assertEqual(list(row), names.split())
        self.assertEqual(from_row(row), make_result("a", 1, 0.5))

    def test_results_of_the_first_version_are_read_and_newer_ones_rejected(self) -> None:
        old = to_row(make_result("a", 1, 0.5)) | {"v": 1}
        for field in ("text", "revision", "machine"):
            del old[field]
        text = json.dumps(old).encode()
        (self.folder / "results.jsonl").write_bytes(b"%08x %s\n" % (zlib.crc32(text), text))
        store = ResultStore(self.folder)
        (stored,) = store.results.values()
        store.close()
        self.assertEqual((stored.version, stored.utility, stored.scenario_text), (1, 0.5, ""))
        with self.assertRaises(ValueError):
            replay(stored)
        write_parquet(self.folder / "r.parquet", [dataclasses.replace(stored, version=99)])
        with self.assertRaisesRegex(ValueError, "written by version 99"):
            read_parquet(self.folder / "r.parquet")

    def test_comparisons_are_paired_by_seed_and_detect_differences(self) -> None:
        noise = [0.0, 0.1, 0.2, 0.3, 0.1, 0.2]
        results = [make_result("juniperward", n, 0.6 + x) for n, x in enumerate(noise)]
        results += [make_result("worse", n, 0.55 + x) for n, x in enumerate(noise)]
        results += [make_result("other", n, 0.6 + x) for n, x in enumerate(reversed(noise))]
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

    def test_simulate_commands_run_sweep_and_list(self) -> None:
        file = self.folder / "small.textproto"
        file.write_text(SCENARIO_TEXT)
        runner = CliRunner()
        row = json.loads(
            runner.invoke(app, ["simulate", "run", str(file), "-p", "no-retry", "-o", "json"]).output
        )
        self.assertEqual(row["worth"], run_scenario(SCENARIO_TEXT, "small", "no-retry", 1).utility)
        arguments = [
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
        self.assertEqual(runner.invoke(app, [*arguments, str(self.folder / "o")]).exit_code, 0)
        self.assertIn("no-retry", (self.folder / "o" / "table.md").read_text())
        self.assertEqual(runner.invoke(app, ["simulate", "run", str(file), "-p", "x"]).exit_code, 2)
        self.assertIn("policies", runner.invoke(app, ["simulate", "list"]).output)
        self.assertIsInstance(NoRetry.retries, bool)


class FormerNamesTest(unittest.TestCase):
    def test_results_and_commands_accept_former_names_of_policies(self) -> None:
        # Stored results with a former name must not count as results of another policy.
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "results.parquet"
            run_result = run_scenario(SCENARIO_TEXT, "small", "no-retry", 1)
            former = [dataclasses.replace(run_result, policy=name) for name in ("nickelscale", "one-try")]
            write_parquet(file, former)
            self.assertEqual([r.policy for r in read_parquet(file)], ["juniperward", "no-retry"])
        runner = CliRunner()
        scenario = str(SCENARIOS_FOLDER / "calm.textproto")
        output = runner.invoke(app, ["lab", "run", scenario, "-p", "nickelscale", "-o", "json"])
        self.assertEqual(output.exit_code, 0, output.output)
        output = runner.invoke(app, ["simulate", "run", scenario, "-p", "one-try", "-o", "json"])
        self.assertEqual(json.loads(output.output)["policy"], "no-retry")

    def test_a_comparison_accepts_a_former_name(self) -> None:
        # Results have the current name; a former name that is not translated would match none of them.
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "small.textproto"
            file.write_text(SCENARIO_TEXT)
            arguments = ["simulate", "compare", "juniperward", "one-try", "-s", str(file), "--seeds", "2"]
            options = ["--processes", "1", "--out", str(Path(folder) / "out"), "-o", "json"]
            (row,) = json.loads(CliRunner().invoke(app, arguments + options).output)
        self.assertEqual((row["one"], row["other"], row["seeds"]), ("juniperward", "no-retry", 2))
