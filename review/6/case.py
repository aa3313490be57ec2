"""Repeats after the window in which the endpoint drops them, while bad clients send at full speed."""

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
WINDOW_S = 2.3
# PROTOCOL: every time limit is 50 ms longer. STANDING: windows allow for a forwarder that is held up for 0.15 s.
WINDOW_SLACK_S = 0.05 + 0.15
DESTINATIONS = 16
ENDPOINTS_EACH = 2
SPOILT_SHARE = 0.5
MESSAGES_PER_S = 120
ROUNDS = 7
CALM_S, FLOOD_S, REST_S = 2.0, 6.0, 5.0
TIME_LEFT_S = 8.0
BAD_CLIENT_PROCESSES, BAD_CLIENTS_EACH = 3, 10
MIN_ACCEPTED = 200


def repeated_too_late(world: World) -> list[str]:
    """Return the messages that were sent again after the window of the first call that has run."""
    broken = []
    for name, calls in world.calls.items():
        for call in calls[1:]:
            late_s = call.at - calls[0].at - WINDOW_S
            if late_s > WINDOW_SLACK_S + world.lag_s:
                broken.append(
                    f"sent again: {name}, first call at {calls[0].endpoint} ran ({calls[0].answer}), the next one"
                    f" at {call.endpoint} {late_s:.3f} s after the window; it took effect twice"
                )
    return broken


async def case(world: World, forwarder: Forwarder) -> list[str]:
    """Hand in messages for two seconds, let the bad clients begin, and do so seven times."""
    await forwarder.start()
    clients = Clients(world, forwarder)
    for _ in range(ROUNDS):
        for _ in range(int(CALM_S * MESSAGES_PER_S)):
            clients.hand_in(SERVICE, world.random.randrange(DESTINATIONS), TIME_LEFT_S)
            await asyncio.sleep(1 / MESSAGES_PER_S)
        for _ in range(BAD_CLIENT_PROCESSES if TROUBLE else 0):
            start_bad_clients(world, forwarder, "no-id", BAD_CLIENTS_EACH, FLOOD_S)
        await asyncio.sleep(FLOOD_S + REST_S)
    accepted = sum(message.accepted for message in world.messages.values())
    if accepted < MIN_ACCEPTED:
        problem = f"only {accepted} messages were taken on"
        raise CannotRunError(problem)
    return repeated_too_late(world)


def main() -> None:
    """Run the case."""
    service = {
        "Name": SERVICE, "Effect": "by_key", "DedupScope": "all", "WindowMs": 1000 * WINDOW_S, "AimMs": 2000.0,
        "DeadlineMs": 1000 * TIME_LEFT_S, "LateWorth": 0.3, "Streamed": False, "Worth": 1.0,
    }  # fmt: skip
    world = World(base_settings([service], slots=56, max_open=900))

    def is_spoilt() -> bool:
        return TROUBLE and world.random.random() < SPOILT_SHARE

    world.endpoints = [
        Endpoint(world, f"s-{cell}-{number}", cell, is_spoilt=is_spoilt)
        for cell in range(DESTINATIONS)
        for number in range(ENDPOINTS_EACH)
    ]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
    run_case("6", world, limits, case)


if __name__ == "__main__":
    main()
