"""Messages that were taken on get their end too late while bad clients send at full speed."""

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
    lost,
    run_case,
    start_bad_clients,
)

SERVICE = "booking-update"
DESTINATIONS = 3
ENDPOINTS_EACH = 2
# A clump: what these destinations take in some 3 s.
CLUMP, CLUMP_S = 120, 1.0
TIME_LEFT_S = 4.0
BAD_CLIENT_PROCESSES, BAD_CLIENTS_EACH = 3, 90
FLOOD_S = 9.0
ROUNDS = 3
MIN_ACCEPTED = 150


async def case(world: World, forwarder: Forwarder) -> list[str]:
    """Hand in a clump of messages, and let the bad clients begin behind it; three times."""
    await forwarder.start()
    clients = Clients(world, forwarder)
    for _ in range(ROUNDS):
        for number in range(CLUMP):
            clients.hand_in(SERVICE, number % DESTINATIONS, TIME_LEFT_S)
            await asyncio.sleep(CLUMP_S / CLUMP)
        for _ in range(BAD_CLIENT_PROCESSES if TROUBLE else 0):
            start_bad_clients(world, forwarder, "no-id", BAD_CLIENTS_EACH, FLOOD_S)
        await asyncio.sleep(FLOOD_S + TIME_LEFT_S)
    accepted = sum(message.accepted for message in world.messages.values())
    if accepted < MIN_ACCEPTED:
        problem = f"only {accepted} messages were taken on"
        raise CannotRunError(problem)
    return lost(world)


def main() -> None:
    """Run the case."""
    service = {
        "Name": SERVICE, "Effect": "by_key", "DedupScope": "all", "WindowMs": 12000.0, "AimMs": 3000.0,
        "DeadlineMs": 12000.0, "LateWorth": 0.3, "Streamed": False, "Worth": 1.0,
    }  # fmt: skip
    world = World(base_settings([service], slots=16, max_open=150))
    world.endpoints = [
        Endpoint(world, f"s-{cell}-{number}", cell)
        for cell in range(DESTINATIONS)
        for number in range(ENDPOINTS_EACH)
    ]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
    run_case("7", world, limits, case)


if __name__ == "__main__":
    main()
