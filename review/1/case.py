"""Case 1: usual clients beside bad ones that send the same bad message again as soon as it is turned away."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

MESSAGES_PER_S = 100.0
TIME_LEFT_S = 8.0
SLACK_S = 0.55  # Lost is what ends half a second after its time or never; each time limit is 50 ms longer.
# How many bad clients are connected at a time, in phases of PHASE_S each; a third of 1,024 descriptors is 341.
BAD_CLIENTS = (15, 30, 45, 60, 80, 110, 150, 200)
PHASE_S = 10.0
DESTINATIONS = (1, 2, 3)


async def send_usual(clients: standins.Clients, messages: list[standins.Message], seconds: float) -> None:
    """Hand in messages at random times for `seconds`."""
    tasks = []
    until = standins.now() + seconds
    while standins.now() < until:
        number = len(messages)
        message = standins.Message(
            b"booking %06d" % number, DESTINATIONS[number % len(DESTINATIONS)], "booking-update", "valiya-yard",
            TIME_LEFT_S, key=f"key-{number}",
        )  # fmt: skip
        messages.append(message)
        tasks.append(asyncio.create_task(clients.hand_in(message)))
        await asyncio.sleep(random.expovariate(MESSAGES_PER_S))
    await asyncio.gather(*tasks)


async def bad_clients(record: standins.Record, port: int, connections: int) -> None:
    """Run bad clients for the length of a phase."""
    program = str(FOLDER.parent / "bad_clients.py")
    process = await asyncio.create_subprocess_exec(
        sys.executable, program, str(port), str(connections), str(PHASE_S), stdout=asyncio.subprocess.PIPE
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    record.add("bad clients", connections=connections, answers=int(output))


def judge(
    record: standins.Record,
    messages: list[standins.Message],
    runs: list[standins.Run],
    notices: dict[str, list[tuple[float, str]]],
) -> bool:
    """Return whether each message that was taken on ended in time, by a delivery or by a notice."""
    run_at = {run.id: run.at for run in runs}
    answered = [handing_in for message in messages for handing_in in message.handed_in]
    taken = [handing_in for handing_in in answered if handing_in.status in (200, 202)]
    lost = []
    for handing_in in taken:
        ended_at = [run_at[handing_in.id]] if handing_in.id in run_at else []
        ended_at += [at for at, _ in notices.get(handing_in.id, [])]
        if not ended_at or min(ended_at) > handing_in.sent_at + TIME_LEFT_S + SLACK_S:
            lost.append(handing_in.id)
            record.add("lost", id=handing_in.id)
    refused_and_run = [each.id for each in answered if each.status in (429, 503) and each.id in run_at]
    for message_id in refused_and_run:
        record.add("refused, but run", id=message_id)
    counts = {
        status: sum(each.status == status for each in answered) for status in {h.status for h in answered}
    }
    record.add("verdict", answers=counts, lost=len(lost), refused_but_run=len(refused_and_run))
    print(f"answers {counts}; lost {len(lost)}; refused, but run {len(refused_and_run)}")
    return not lost


async def case(record: standins.Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    runs: list[standins.Run] = []
    endpoints = {
        standins.Endpoint(record, f"s-{destination}-{number}", runs): destination
        for destination in DESTINATIONS
        for number in (0, 1)
    }
    for endpoint in endpoints:
        await endpoint.start()
    entries = [
        endpoint.entry(destination, "small-partners", "aluva") for endpoint, destination in endpoints.items()
    ]
    platform = standins.Platform(record, entries)
    await platform.start()
    document = json.loads((standins.ROOT / "deploy" / "forwarder.json").read_text(encoding="utf-8"))
    forwarder = standins.Forwarder(record, "n1", folder, platform.port)
    forwarder.write_config(document["settings"], document["limits"], platform.known())
    messages: list[standins.Message] = []
    try:
        forwarder.start()
        await forwarder.wait_ready()
        clients = standins.Clients(record, forwarder.port)
        for connections in BAD_CLIENTS:
            usual = send_usual(clients, messages, PHASE_S)
            if trouble:
                await asyncio.gather(usual, bad_clients(record, forwarder.port, connections))
            else:
                await usual
        await asyncio.sleep(TIME_LEFT_S + SLACK_S)
        forwarder.send(signal.SIGUSR1)
        await asyncio.sleep(0.3)
        record.add("forwarder's log", text=forwarder.log_end())
        if forwarder.process is None or forwarder.process.poll() is not None:
            raise standins.CannotRunError(forwarder.name, "ended", forwarder.log_end(500))
    finally:
        forwarder.end()
    return judge(record, messages, runs, platform.notices)


if __name__ == "__main__":
    sys.exit(standins.run_case(case, FOLDER))
