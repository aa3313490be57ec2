"""Tests of forwarder processes under an agent process: rolls, crashes and failed starts, verified by the checker."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from juniperward.agent.client import AgentRejectedError, request
from juniperward.benchmarks.cluster_files import ROOT
from juniperward.benchmarks.local_cluster import ClusterOptions, LocalCluster
from juniperward.benchmarks.ports import reserve_ports
from juniperward.fakes.destination_spec import DestinationSpec
from tests.resources import UsesResources

FAST_DESTINATIONS = [DestinationSpec(1, latency_s=0.02), DestinationSpec(2, latency_s=0.02, endpoints=3)]


class TestPort(UsesResources):
    def test_only_a_listener_with_address_reuse_can_bind_a_reserved_port(self) -> None:
        # Guards against another process that takes the port before the forwarder has started.
        (reserved,) = reserve_ports(1)
        self.resources.callback(reserved.close)
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(reserved.getsockname())
        for _ in range(2):  # also after a restart
            with socket.socket() as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind(reserved.getsockname())
                listener.listen()
                with socket.create_connection(reserved.getsockname(), 1.0) as connection:
                    listener.accept()[0].close()
                    assert connection.recv(1) == b""


class LocalClusterTest(UsesResources):
    def cluster(self, instances: int = 3, **options: Any) -> LocalCluster:
        folder = tempfile.TemporaryDirectory(prefix="jw-")
        self.resources.callback(folder.cleanup)
        return self.resources.closing(
            LocalCluster(Path(folder.name), instances, FAST_DESTINATIONS, options=ClusterOptions(**options))
        )

    def assert_passed(self, cluster: LocalCluster) -> None:
        cluster.settle()
        verdict = cluster.verdict()
        assert verdict.passed, "\n".join(verdict.lines())
        assert verdict.unfinished == 0
        assert verdict.accepted > 20


class TestRolls(LocalClusterTest):
    def test_a_roll_under_load_loses_nothing_while_an_endpoint_drains(self) -> None:
        cluster = self.cluster()
        cluster.start()
        clients = cluster.clients(40.0, 6.0, threads=24)
        cluster.request("roll", soak=0.2)
        cluster.wait_until(lambda status: status["roll"]["steps"][0]["stage"] == "starting")
        cluster.discovery.publish(*cluster.destinations[2].listed_endpoints("Terminating", 0))
        assert cluster.roll_end()["mode"] == "done"
        assert clients.done.wait(30.0)
        self.assert_passed(cluster)
        # The restarted instance has the list that was published in the meantime: the endpoint drains there, too.
        inspected = cluster.request("inspect", ["n0"])
        phases = {endpoint["id"]: endpoint["phase"] for endpoint in inspected["workers"]}
        assert (phases["s-2-0"], phases["s-2-1"]) == ("draining", "ready")

    def test_a_stopped_instance_is_reported_and_rolled_across_an_agent_crash(self) -> None:
        cluster = self.cluster(settings={"patience": {"silent": 1.0, "start": 8.0, "stop": 2.0}})
        cluster.start()
        pid = cluster.instance("n1")["pid"]
        os.kill(pid, signal.SIGSTOP)
        clients = cluster.clients(30.0, 6.0, threads=24)
        cluster.wait_until(lambda status: status["instances"][1]["state"] == "silent")
        assert "status: no answer" in cluster.request("inspect", ["n1"])["unanswered"][0]
        cluster.request("drain", ["n1"])
        cluster.request("resume", ["n1"])
        cluster.request("roll", soak=0.2)
        for stage in ("stopping", "soaking"):

            def in_stage(status: dict[str, Any], stage: str = stage) -> bool:
                return any(step["stage"] == stage for step in status["roll"]["steps"])

            cluster.wait_until(in_stage)
            cluster.kill_agent()
            cluster.start_agent()
        assert cluster.roll_end()["mode"] == "done"
        assert cluster.instance("n1")["pid"] != pid
        assert clients.done.wait(30.0)
        self.assert_passed(cluster)

    def test_of_concurrent_roll_requests_one_is_accepted(self) -> None:
        cluster = self.cluster(2)
        cluster.start()
        statuses: list[int] = []

        def roll() -> None:
            try:
                request(cluster.socket, "roll", None, 10.0, soak=0.0)
                statuses.append(200)
            except AgentRejectedError as error:
                statuses.append(error.status)

        threads = [threading.Thread(target=roll) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(statuses) == [200, 409, 409, 409]
        assert cluster.roll_end()["mode"] == "done"

    def test_settings_that_prevent_a_start_pause_the_roll_and_undo_restores_all_instances(self) -> None:
        cluster = self.cluster()
        cluster.start()
        valid_limits = dict(cluster.base["settings"]["Limits"])
        cluster.base["settings"]["Limits"]["MaxOpen"] = -1
        cluster.write_settings()
        cluster.request("reload")
        roll = cluster.roll()
        assert roll["mode"] == "paused"
        assert "n0 failed to start: exited before it was ready: exit 2" in roll["why"]
        assert cluster.request("status")["ready"] == 2
        cluster.base["settings"]["Limits"] = valid_limits
        cluster.write_settings()
        cluster.request("reload")
        cluster.request("roll_undo")
        assert cluster.roll_end()["mode"] == "undone"
        cluster.wait_until(lambda status: status["ready"] == 3)

    def test_an_instance_that_is_ready_but_delivers_nothing_pauses_the_roll(self) -> None:
        # With a deadline shorter than any call, a forwarder delivers nothing, yet reports that it is ready.
        cluster = self.cluster(3, settings={"roll": {"soak": 0.3, "soak_most": 20.0, "least_calls": 5}})
        cluster.start()
        clients = cluster.clients(60.0, 10.0, threads=24)
        cluster.wait_until(lambda status: status["service"]["good"] > 50)
        cluster.base["settings"]["Services"][0]["DeadlineMs"] = 10.0
        cluster.write_settings()
        cluster.request("reload")
        roll = cluster.roll()
        assert roll["mode"] == "paused", roll
        assert re.search("n0 is ready but|success rate fell", roll["why"])
        cluster.request("roll_undo")
        assert cluster.roll_end()["mode"] == "undone"
        assert clients.done.wait(30.0)
        self.assert_passed(cluster)


class TestStarts(LocalClusterTest):
    def test_an_occupied_port_and_an_unusable_folder_are_reported_and_recovered(self) -> None:
        cluster = self.cluster(3)
        occupied = self.resources.closing(socket.create_server(cluster.addresses["n0"]))
        (cluster.folder / "run" / "state").mkdir(parents=True)
        (cluster.folder / "run").chmod(0o700)
        (cluster.folder / "run" / "state" / "n1").write_text("a file where the folder should be")
        cluster.start(ready=False)
        cluster.wait_until(
            lambda status: status["instances"][0]["crashes"] and status["instances"][1]["crashes"]
        )
        reasons = {row["name"]: row["why"] for row in cluster.request("status")["instances"]}
        assert "cannot be started" in reasons["n1"]
        assert "cannot start" in "\n".join(cluster.request("logs", ["n0"])["lines"])
        occupied.close()
        (cluster.folder / "run" / "state" / "n1").unlink()
        cluster.wait_until(lambda status: status["ready"] == 3)

    def test_a_second_forwarder_cannot_start_on_the_folder_of_a_running_one(self) -> None:
        cluster = self.cluster(2)
        cluster.start()
        config = json.loads((cluster.folder / "run" / "run" / "n0.json").read_text())
        pid = cluster.instance("n0")["pid"]
        config_file = cluster.folder / "hand.json"
        config_file.write_text(
            json.dumps({**config, "listen": "127.0.0.1:1", "control": str(cluster.folder / "c" / "x")})
        )
        second = subprocess.run(
            [sys.executable, "-m", "juniperward"], cwd=ROOT, env={**os.environ, "ROUTER_CONFIG": str(config_file)},
            capture_output=True, timeout=20.0,
        )  # fmt: skip
        assert second.returncode == 1
        assert b"another forwarder works in this folder" in second.stderr
        assert cluster.instance("n0")["pid"] == pid

    def test_an_agent_that_ends_leaves_its_forwarders_and_a_new_one_adopts_them(self) -> None:
        cluster = self.cluster(2)
        cluster.start()
        pids = [cluster.instance(name)["pid"] for name in cluster.names]
        cluster.request("shutdown")
        assert cluster.agent is not None
        cluster.agent.wait(10.0)
        # Without a readable state file, the new agent finds the forwarders by their environment.
        (cluster.folder / "run" / "state.json").write_bytes(b"{")
        (cluster.folder / "run" / "state.json.old").unlink(missing_ok=True)
        cluster.start_agent()
        cluster.wait_until(lambda status: status["ready"] == 2)
        assert [cluster.instance(name)["pid"] for name in cluster.names] == pids
        second = subprocess.run(
            [sys.executable, "-m", "juniperward", "agent", "run", str(cluster.files.fleet_file), "--json"],
            cwd=ROOT, capture_output=True, timeout=20.0,
        )  # fmt: skip
        assert second.returncode == 1
        assert b"another agent is already running for this fleet" in second.stderr

    def test_a_crashed_forwarder_restarts_and_completes_accepted_messages(self) -> None:
        cluster = self.cluster(2)
        cluster.start()
        clients = cluster.clients(30.0, 3.0, threads=16)
        time.sleep(0.5)
        cluster.request("kill", ["n0"])
        cluster.wait_until(
            lambda status: (
                status["instances"][0]["crashes"]
                or status["instances"][0]["up"] is not None
                and status["ready"] == 2
            )
        )
        assert clients.done.wait(30.0)
        cluster.wait_until(lambda status: status["ready"] == 2)
        self.assert_passed(cluster)
