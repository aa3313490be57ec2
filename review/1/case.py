"""Bad clients load the forwarder; its late answer to one request is written as the answer to the next one.

Usual clients hand messages of the class `seat-booking` in, while a rising number of bad clients sends messages of a
class that does not exist. What is checked: each message that was taken on has run, or was ended by a notice, 300 ms
(and the 50 ms of the sockets) after its time; and no message whose earlier handings in were all refused runs twice.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
from collections import defaultdict
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    ROOT,
    Clients,
    Endpoint,
    Forwarder,
    HandingIn,
    Message,
    Platform,
    Record,
    Run,
    now,
    run_case,
)

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
DESTINATIONS = 8
MESSAGES_PER_S = 60.0
LOAD_S = 12.0
TIME_LEFT_S = 10.0
ENDED_WITHIN_S = TIME_LEFT_S + 0.35  # 300 ms after the message's time, and 50 ms for the sockets
MAX_RETRIES = 2  # Clients hand a message in again up to 2 times after a refusal, after a wait.
RETRY_WAIT_S = (0.41, 1.4)
REFUSED = (429, 503)
TAKEN_ON = (200, 202)
# The bad connections that begin after so many seconds; all together 124 of the 341 that the pages allow.
BAD_CONNECTIONS = ((0.0, 40), *((1.5 * step, 12) for step in range(1, 8)))


async def bad_clients(record: Record, port: int, began_at: float) -> list[subprocess.Popen[bytes]]:
    """Start the bad clients, and return their processes, which end by themselves."""
    processes = []
    for after_s, connections in BAD_CONNECTIONS:
        await asyncio.sleep(began_at + after_s - now())
        command = [str(HERE.parent / "bad_clients.py"), str(port), str(connections), str(LOAD_S - after_s)]
        processes.append(subprocess.Popen([sys.executable, *command], stdout=subprocess.DEVNULL))
        record.add("bad clients", connections=connections)
    return processes


async def client(clients: Clients, message: Message) -> None:
    """Hand a message in, and again after each refusal, as often as the site's clients do."""
    for retry in range(MAX_RETRIES + 1):
        handing_in = await clients.hand_in(message, "1" if retry else None)
        if handing_in.status not in REFUSED:
            return
        await asyncio.sleep(max(handing_in.retry_after_s, random.uniform(*RETRY_WAIT_S)))


def judge(record: Record, messages: list[Message], runs: list[Run], platform: Platform) -> bool:
    """Return whether the rule held, and print what was seen."""
    runs_by_id: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        runs_by_id[run.id].append(run.at)

    def ended_after(handing_in: HandingIn) -> float | None:
        ends = runs_by_id[handing_in.id] + [at for at, _ in platform.notices.get(handing_in.id, [])]
        return min(ends) - handing_in.sent_at if ends else None

    handings_in = [each for message in messages for each in message.handed_in]
    taken_on = [each for each in handings_in if each.status in TAKEN_ON]
    never = [each.id for each in taken_on if ended_after(each) is None]
    late = [each.id for each in taken_on if (after_s := ended_after(each)) and after_s > ENDED_WITHIN_S]
    twice = [
        [each.id for each in message.handed_in]
        for message in messages
        if sum(len(runs_by_id[each.id]) for each in message.handed_in) > 1
        and all(each.status in REFUSED for each in message.handed_in[:-1])
    ]
    counts = {
        "messages": len(messages),
        "handed_in": len(handings_in),
        "taken_on": len(taken_on),
        "refused": sum(each.status in REFUSED for each in handings_in),
        "refused_and_ran": sum(each.status in REFUSED and bool(runs_by_id[each.id]) for each in handings_in),
        "never_ended": len(never),
        "ended_too_late": len(late),
        "ran_twice_after_refusals": len(twice),
    }
    record.add("judged", **counts, never_ended_ids=never, late_ids=late, twice_ids=twice)
    print(json.dumps(counts))
    return not (never or late or twice)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    settings = json.loads((ROOT / "deploy" / "forwarder-pushed.json").read_text(encoding="utf-8"))["settings"]
    runs: list[Run] = []
    entries = []
    for number in range(1, DESTINATIONS + 1):
        endpoint = Endpoint(record, f"s-{number}", runs, service_s=0.2)
        await endpoint.start()
        entries.append(endpoint.entry(number, settings["Kinds"][0], settings["FailureDomains"][0]))
    platform = Platform(record, entries)
    await platform.start()
    forwarder = Forwarder(record, "n1", folder, platform.port)
    forwarder.write_config(settings, LIMITS, platform.known())
    processes: list[subprocess.Popen[bytes]] = []
    messages: list[Message] = []
    try:
        forwarder.start()
        await forwarder.wait_ready()
        clients = Clients(record, forwarder.port)
        began_at = now()
        bad = asyncio.create_task(bad_clients(record, forwarder.port, began_at)) if trouble else None
        tasks = []
        while now() < began_at + LOAD_S:
            message = Message(
                f"message {len(messages)}".encode(),
                1 + len(messages) % DESTINATIONS,
                settings["Services"][0]["Name"],
                settings["Tenants"][0]["Name"],
                TIME_LEFT_S,
            )
            messages.append(message)
            tasks.append(asyncio.create_task(client(clients, message)))
            await asyncio.sleep(1 / MESSAGES_PER_S)
        if bad is not None:
            processes = await bad
        await asyncio.gather(*tasks)
        await asyncio.sleep(ENDED_WITHIN_S + 1.0)
    finally:
        forwarder.end()
        for process in processes:
            process.kill()
            process.wait()
    return judge(record, messages, runs, platform)


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
