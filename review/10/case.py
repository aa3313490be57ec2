"""Bad clients with many header lines take the forwarder over its limit on memory, which ends it."""

from __future__ import annotations

import asyncio

from standins_2 import (
    TROUBLE,
    CannotRunError,
    Clients,
    Endpoint,
    Forwarder,
    World,
    base_settings,
    run_case,
    start_bad_clients,
)

SERVICE = "booking-update"
MEMORY_MB, SOCKETS = 64, 512
# DEPLOY: over `memory_mb` the forwarder is killed. LATER: clients hold at most a third of the descriptors.
BAD_CLIENT_PROCESSES, BAD_CLIENTS_EACH = 3, 50
MESSAGES_PER_S = 20
CALM_S, FLOOD_S = 3.0, 15.0
LOOK_INTERVAL_S = 0.05
TIME_LEFT_S = 10.0
MIN_ACCEPTED = 30


async def case(world: World, forwarder: Forwarder) -> list[str]:
    """Hand in messages, let the bad clients begin, and look at the memory as the platform does."""
    await forwarder.start()
    clients = Clients(world, forwarder)
    most_mb = 0.0
    for number in range(int((CALM_S + FLOOD_S) * MESSAGES_PER_S)):
        if TROUBLE and number == int(CALM_S * MESSAGES_PER_S):
            for _ in range(BAD_CLIENT_PROCESSES):
                start_bad_clients(world, forwarder, "half", BAD_CLIENTS_EACH, FLOOD_S)
        clients.hand_in(SERVICE, 0, TIME_LEFT_S)
        await asyncio.sleep(LOOK_INTERVAL_S)
        memory_mb = forwarder.memory_mb()
        if memory_mb > most_mb + 1:
            world.record(f"resident memory {memory_mb:.1f} MB")
        most_mb = max(most_mb, memory_mb)
        if most_mb > MEMORY_MB:
            world.record("the platform kills the forwarder for memory")
            return [f"killed for memory: {most_mb:.1f} MB resident, the limit is {MEMORY_MB} MB"]
    accepted = sum(message.accepted for message in world.messages.values())
    if accepted < MIN_ACCEPTED:
        problem = f"only {accepted} messages were taken on"
        raise CannotRunError(problem)
    world.record(f"resident memory at most {most_mb:.1f} MB")
    return []


def main() -> None:
    """Run the case."""
    service = {
        "Name": SERVICE, "Effect": "by_key", "DedupScope": "all", "WindowMs": 12000.0, "AimMs": 3000.0,
        "DeadlineMs": 12000.0, "LateWorth": 0.3, "Streamed": False, "Worth": 1.0,
    }  # fmt: skip
    world = World(base_settings([service], slots=16, max_open=150))
    world.endpoints = [Endpoint(world, "s-0", 0), Endpoint(world, "s-1", 0)]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3}
    run_case("10", world, limits, case)


if __name__ == "__main__":
    main()
