"""Kept messages in the agent: the resender's real world, its thread, and what clients ask of it."""

from __future__ import annotations

import base64
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from juniperward.agent import processes
from juniperward.control.client import ControlClient, Refused, Silent
from juniperward.control.protocol import Destination, ProtocolError, Verb, WorkerRow
from juniperward.dead_letters import spool
from juniperward.dead_letters.decisions import (
    Clock,
    DestinationView,
    RedriveSafety,
    Status,
    certain_now,
    judge_redrive,
    wanted_by,
)
from juniperward.dead_letters.redriver import Redriver, ReportedOutcomes, ResendRules, Round
from juniperward.dead_letters.resubmission import Resubmission, resubmit
from juniperward.dead_letters.store import ClaimLostError, DeadLetterStore, Filter
from juniperward.fleet.model import Reading
from juniperward.settings.load import SettingsError, load

EVERY = 0.25  # seconds between rounds
FRESH = 0.2  # seconds for which what an instance told of its destinations is used
SWEEP = 60.0  # seconds between looks at what is too old
PATIENCE = 0.5  # seconds for an instance's answer
MOST_PAGE = 500

Ready = Callable[[], dict[str, tuple[tuple[str, int], Reading]]]  # ready instances: address, latest reading


class FleetWorld:
    """The fleet as a resender sees it; used by one thread."""

    def __init__(self, folder: Path, names: Callable[[], list[str]], ready: Ready) -> None:
        self.folder, self.names, self.ready = folder, names, ready
        self.boot_id = processes.boot_id()
        self.clients: dict[str, ControlClient] = {}
        self.told: dict[str, tuple[float, dict[int, Destination], dict[int, set[str]]]] = {}
        self.damaged = 0

    def clock(self) -> Clock:
        return Clock(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), self.boot_id)

    def forwarders(self) -> list[str]:
        return sorted(self.ready())

    def slots(self) -> int:
        return sum(r.slots for _, r in self.ready().values())

    def _client(self, name: str) -> ControlClient:
        if name not in self.clients:
            self.clients[name] = ControlClient(self.folder / "run" / name, PATIENCE)
        return self.clients[name]

    def _look(self) -> list[tuple[dict[int, Destination], dict[int, set[str]], int]]:
        """What each ready instance tells of its destinations and workers, and its slots."""
        found = []
        for name, (_, reading) in self.ready().items():
            at, destinations, workers = self.told.get(name, (0.0, {}, {}))
            if time.monotonic() - at > FRESH:
                try:
                    client = self._client(name)
                    rows: tuple[Destination, ...] = client.rows(Verb.DESTINATIONS).destinations
                    listed: tuple[WorkerRow, ...] = client.rows(Verb.WORKERS).workers
                except (Silent, Refused, ProtocolError):
                    continue
                destinations = {r.destination: r for r in rows}
                workers = {}
                for w in listed:
                    if w.phase == "ready":
                        workers.setdefault(w.destination, set()).add(w.id)
                self.told[name] = (time.monotonic(), destinations, workers)
            found.append((destinations, workers, reading.slots))
        return found

    def sights(self, destination: int) -> list[DestinationView]:
        found = []
        for destinations, _, slots in self._look():
            d = destinations.get(destination)
            if d is None:
                found.append(DestinationView("unknown", 0.0, False, 0.0, 0, slots))
            else:
                found.append(
                    DestinationView(d.health, d.wait, d.pace is not None, d.rating, d.waiting, slots)
                )
        return found

    def workers(self, destination: int) -> frozenset[str] | None:
        looked = self._look()
        if not looked:
            return None
        return frozenset().union(*(workers.get(destination, set()) for _, workers, _ in looked))

    def take_in(self, store: DeadLetterStore) -> int:
        return sum(self._take_in(store, name) for name in self.names())

    def _take_in(self, store: DeadLetterStore, name: str) -> int:
        """Read on in a forwarder's spool; what is in the store is acknowledged, and the forwarder deletes it."""
        folder = self.folder / "spool" / name
        found = spool.segments(folder)
        if not found:
            return 0
        at, offset = store.place(name)
        new = 0
        for number, path in found:
            if number < at:
                continue
            offset = offset if number == at else 0
            messages = []
            end = offset
            try:
                for message, behind in spool.read(path, offset):
                    end = behind
                    if message is None:
                        self.damaged += 1
                    else:
                        messages.append(message)
            except FileNotFoundError:
                continue
            if end > offset or number > at:
                new += store.take_in(name, messages, number, end)
                at = number
        if found[-1][0] > spool.acknowledged_segment(folder) + 1:
            # All but the newest are whole: the forwarder writes to that one only.
            spool.acknowledge_segment(folder, found[-1][0] - 1)
        return new

    def hand_in(self, forwarder: str, h: Resubmission) -> tuple[int, float]:
        ready = self.ready().get(forwarder)
        return resubmit(ready[0], h) if ready is not None else (-1, 0.0)

    def fates(self, forwarder: str, ids: tuple[str, ...]) -> dict[str, ReportedOutcomes] | None:
        try:
            told = self._client(forwarder).fates(ids)
        except (Silent, Refused, ProtocolError):
            return None
        return {f.id: ReportedOutcomes(f.end, f.ran_at, told.complete_since) for f in told.fates}


class DeadLetterService:
    """The store, the resender's thread, and the answers to `POST /v1/kept`."""

    def __init__(
        self, folder: Path, rules: ResendRules, names: Callable[[], list[str]], ready: Ready
    ) -> None:
        self.store = DeadLetterStore(folder / "kept.db")
        self.world = FleetWorld(folder, names, ready)
        self.resender = Redriver(self.store, self.world, rules)
        self.latest = Round()
        self.trouble = ""  # why the latest round failed
        self.note: Callable[[str, str, dict[str, Any]], None] = lambda event, level, fields: None
        self.ended = threading.Event()

    def start(self) -> None:
        """Begin rounds."""
        threading.Thread(target=self._run, name="resender", daemon=True).start()

    def configure(self, rules: ResendRules) -> None:
        """New rules, from the next round on."""
        self.resender.rules = rules

    def _run(self) -> None:
        sweep_at = 0.0
        while not self.ended.wait(EVERY):
            try:
                self.latest = self.resender.round()
                if self.latest.taken_in:
                    self.note("kept", "info", {"messages": self.latest.taken_in})
                if time.monotonic() >= sweep_at:
                    sweep_at = time.monotonic() + SWEEP
                    if dropped := self.resender.sweep():
                        self.note("kept messages dropped", "warning", {"messages": dropped})
                if self.trouble:
                    self.note("resends go on", "info", {})
                self.trouble = ""
            except Exception as error:
                # A full disk, a damaged file: nothing is begun, claims stay, the next round tries again.
                if str(error) != self.trouble:
                    self.note("resends stand still", "error", {"why": f"{type(error).__name__}: {error}"})
                self.trouble = str(error)
                self.ended.wait(1.0)

    # --- what clients ask ---------------------------------------------------------------------------------------

    def answer(self, options: dict[str, Any], who: str) -> tuple[int, dict[str, Any]]:
        """The answer to one question or order; `who` is the user at the other end."""
        try:
            return self._answer(str(options.get("action", "")), options, who)
        except (TypeError, ValueError, KeyError) as error:
            return 400, {"error": f"{type(error).__name__}: {error}"}
        except ClaimLostError as error:
            return 409, {"error": str(error)}

    def _answer(self, action: str, o: dict[str, Any], who: str) -> tuple[int, dict[str, Any]]:
        store = self.store
        ids = tuple(str(x) for x in o.get("ids", ()))
        if len(ids) > MOST_PAGE:
            raise ValueError(f"{len(ids)} ids; {MOST_PAGE} at most in one call")
        match action:
            case "list":
                return 200, self._list(o)
            case "show":
                found = store.whole(str(o["id"]))
                if found is None:
                    return 404, {"error": f"no such message: {o['id']}"}
                found |= self._judged(str(o["id"]))
                if o.get("body"):
                    found["body"] = base64.b64encode(store.body(str(o["id"]), who) or b"").decode()
                return 200, found
            case "resend":
                return 200, {"asked": store.wish(ids, who, bool(o.get("partner_sure")))}
            case "settle":
                why = str(o.get("why") or "").strip()
                if not why:
                    raise ValueError("why: whoever settles a message says how he knows")
                now = certain_now(self.world.clock(), store.seen())
                store.settle(str(o["id"]), bool(o["delivered"]), who, why, now)
                return 200, {"settled": str(o["id"])}
            case "discard":
                return 200, {"discarded": store.discard(ids, who)}
            case "undo":
                return 200, {"undone": store.undo(ids, who)}
            case "stats":
                paces = {str(d): p.why for d, p in self.resender.paces.items()}
                return 200, {
                    **store.stats(), "open": len(store.open_resends()), "paces": paces, "trouble": self.trouble,
                    "lost_memory": self.latest.lost_memory, "damaged_lines": self.world.damaged,
                }  # fmt: skip
            case "audit":
                return 200, {"audit": store.audit(int(o.get("since", 0)))}
            case "simulate":
                return 200, self._simulate(Path(str(o["file"])))
            case "check":
                return 200, {"faults": store.check()}
            case "backup":
                store.backup(Path(str(o["file"])))
                return 200, {"file": str(o["file"])}
        return 404, {"error": f"no such action: {action}"}

    def _list(self, o: dict[str, Any]) -> dict[str, Any]:
        """A page of messages, each with its judgement; `next` begins the page after, null at the end."""
        names = ("stand", "destination", "cls", "account", "key", "since", "until", "wished")
        chosen = Filter(tuple(o.get("ids", ())), **{n: o[n] for n in names if o.get(n) is not None})
        limit = min(int(o.get("limit", 100)), MOST_PAGE)
        after = o.get("after") or (-1.0, "")
        facts = self.store.facts(chosen, limit, (float(after[0]), str(after[1])))
        now = certain_now(self.world.clock(), self.store.seen())
        rules = self.resender.rules
        workers: dict[int, frozenset[str] | None] = {}
        rows = []
        for f in facts:
            if f.destination not in workers:
                workers[f.destination] = self.world_workers(f.destination)
            j = judge_redrive(f, now, workers[f.destination], rules.allowance)
            rows.append({
                "id": f.id, "stand": f.stand.value, "kind": j.kind.value, "may_go": j.may_go, "why": j.why,
                "wanted_by": wanted_by(f, rules.rules, now) if f.stand is Status.KEPT else "",
                "destination": f.destination, "class": f.cls, "account": f.account, "key": f.key,
                "given_up_at": f.given_up_at, "resends": f.resends, "ran_at": f.ran_at,
            })  # fmt: skip
        last = facts[-1] if len(facts) == limit else None
        return {"messages": rows, "next": [last.given_up_at, last.id] if last is not None else None}

    def _simulate(self, file: Path) -> dict[str, Any]:
        """What a file's rules would have go now, and what keeps the rest; nothing is sent."""
        try:
            rules = load(file).kept
        except SettingsError as error:
            raise ValueError(str(error)) from error
        if rules is None:
            raise ValueError(f"{file}: nothing is kept: it has no kept {{ on: true }}")
        now = certain_now(self.world.clock(), self.store.seen())
        go: dict[str, dict[str, int]] = {}
        stay: dict[str, int] = {}
        after = (-1.0, "")
        while page := self.store.facts(Filter(stand="kept"), MOST_PAGE, after):
            after = (page[-1].given_up_at, page[-1].id)
            for f in page:
                by = wanted_by(f, rules.rules, now)
                j = judge_redrive(f, now, self.world_workers(f.destination), rules.allowance)
                if by and j.may_go:
                    count = go.setdefault(by, {})
                    count[str(f.destination)] = count.get(str(f.destination), 0) + 1
                else:
                    why = j.kind.value if not j.may_go and j.kind is RedriveSafety.UNCERTAIN else j.why
                    why = "no rule takes it" if j.may_go else why
                    stay[why] = stay.get(why, 0) + 1
        return {"go": go, "stay": stay, "most_rate": rules.pace.most}

    def _judged(self, message: str) -> dict[str, Any]:
        (row,) = self._list({"ids": [message]})["messages"]
        return {k: row[k] for k in ("kind", "may_go", "why", "wanted_by")}

    def world_workers(self, destination: int) -> frozenset[str] | None:
        """What the resender's last look had: clients of the API must not share its connections."""
        told = list(self.world.told.values())
        if not told:
            return None
        return frozenset().union(*(workers.get(destination, set()) for _, _, workers in told))
