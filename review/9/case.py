"""Messages that were taken on get their end too late while endpoints answer with heads that do not end."""

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
)

SERVICE = "booking-update"
DESTINATIONS = 16
ENDPOINTS_EACH = 2
SPOILT_SHARE = 0.5
# The head of an answer, 34 KB in short lines, without its end.
ENDLESS_HEAD = b"HTTP/1.1 500 Internal Server Error\r\n" + b"a:\r\n" * 8500
MESSAGES_PER_S = 120
TRAFFIC_S = 30.0
TIME_LEFT_S = 5.0
MIN_ACCEPTED = 300


async def case(world: World, forwarder: Forwarder) -> list[str]:
    """Hand in messages while every second answer is spoilt."""
    await forwarder.start()
    clients = Clients(world, forwarder)
    for _ in range(int(TRAFFIC_S * MESSAGES_PER_S)):
        clients.hand_in(SERVICE, world.random.randrange(DESTINATIONS), TIME_LEFT_S)
        await asyncio.sleep(1 / MESSAGES_PER_S)
    await asyncio.sleep(TIME_LEFT_S + 3.0)
    accepted = sum(message.accepted for message in world.messages.values())
    if accepted < MIN_ACCEPTED:
        problem = f"only {accepted} messages were taken on"
        raise CannotRunError(problem)
    return lost(world)


def main() -> None:
    """Run the case."""
    service = {
        "Name": SERVICE, "Effect": "by_key", "DedupScope": "all", "WindowMs": 12000.0, "AimMs": 2000.0,
        "DeadlineMs": 12000.0, "LateWorth": 0.3, "Streamed": False, "Worth": 1.0,
    }  # fmt: skip
    world = World(base_settings([service], slots=56, max_open=900))

    def is_spoilt() -> bool:
        return TROUBLE and world.random.random() < SPOILT_SHARE

    world.endpoints = [
        Endpoint(world, f"s-{cell}-{number}", cell, is_spoilt=is_spoilt, spoilt=ENDLESS_HEAD)
        for cell in range(DESTINATIONS)
        for number in range(ENDPOINTS_EACH)
    ]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
    run_case("9", world, limits, case)


if __name__ == "__main__":
    main()
