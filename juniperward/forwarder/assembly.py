"""Builds a forwarder from its configuration: connects its components and replays the journal; starts no thread."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from juniperward.forwarder.clock import choose_unix_offset, read_boot_id
from juniperward.forwarder.config import Config
from juniperward.forwarder.descriptors import MIN_SOCKETS, ConnectionLimits, divide_descriptors
from juniperward.forwarder.discovery_client import DiscoveryClient
from juniperward.forwarder.effect_executor import EffectExecutor
from juniperward.forwarder.endpoint_client import EndpointClient, EndpointClientLimits
from juniperward.forwarder.event_queue import EventQueue
from juniperward.forwarder.journal import JOURNAL_NAME, Journal
from juniperward.forwarder.loop import Loop
from juniperward.forwarder.memory_limits import MemoryLimits, divide_memory, limit_connections
from juniperward.forwarder.reducer import Reducer
from juniperward.forwarder.reducer.round import MessageLimits
from juniperward.forwarder.server import Server, ServerLimits
from juniperward.forwarder.telemetry import log, set_limit

if TYPE_CHECKING:
    from juniperward.forwarder.dead_letter_writer import DeadLetterWriter


def build(config: Config) -> Loop:
    """Return the loop of a forwarder; raises OSError if its folder or its address cannot be used."""
    unix_offset_s = time.time() - time.monotonic()
    journal_unix_offset_s = choose_unix_offset(
        config.state_folder, unix_offset_s, read_boot_id(), journal_name=JOURNAL_NAME
    )
    journal = Journal(config.state_folder, config.journal_max_bytes, journal_unix_offset_s)
    dead_letters = _open_dead_letters(config, unix_offset_s)
    stored_ids = frozenset(dead_letters.spool.ids) if dead_letters is not None else frozenset()
    memory = divide_memory(config.memory_limit_bytes, config.journal_max_bytes)
    message_limits = MessageLimits(memory.message_bytes, memory.completed_id_bytes)
    reducer = Reducer(config.settings, config.seed, dead_letters is not None, stored_ids, message_limits)
    queue = EventQueue()
    executor = _build_executor(config, memory, journal, queue)
    executor.dead_letters = dead_letters
    executor.endpoint_client.attempts.stores_dead_letters = dead_letters is not None
    return Loop(reducer, executor, queue)


def _open_dead_letters(config: Config, unix_offset_s: float) -> DeadLetterWriter | None:
    if config.spool is None:
        return None
    # Imported only if dead letters are stored, so that other forwarders start faster.
    from juniperward.dead_letters.spool import Spool
    from juniperward.forwarder.dead_letter_writer import DeadLetterWriter

    return DeadLetterWriter(
        Spool(config.spool.folder, config.spool.max_bytes), config.settings, config.names, unix_offset_s
    )


def _build_executor(
    config: Config, memory: MemoryLimits, journal: Journal, queue: EventQueue
) -> EffectExecutor:
    settings = config.settings
    if config.max_sockets < MIN_SOCKETS:
        log("start", "descriptor limit too low", sockets=config.max_sockets, needed=MIN_SOCKETS)
    connection_limits = limit_connections(divide_descriptors(config.max_sockets, settings.slots), memory)
    _set_gauge_limits(connection_limits, memory)
    server = Server(
        config.listen,
        config.names,
        connection_limits.clients,
        queue.post,
        ServerLimits(
            connection_limits.closing_clients,
            memory.client_threads,
            memory.incomplete_requests,
            memory.request_bytes,
        ),
    )
    client_limits = EndpointClientLimits(
        settings.dial_timeout_s,
        settings.keepalive_s,
        connection_limits.calls,
        connection_limits.spare_endpoint_connections,
        read_timeout_s=max(message_class.deadline_s for message_class in settings.classes),
        max_large_answers=memory.large_answers,
    )
    endpoint_client = EndpointClient(client_limits, queue.post, journal.append)
    discovery = DiscoveryClient(config.discovery, config.names, queue.post)
    return EffectExecutor(journal, server, endpoint_client, discovery, queue)


def _set_gauge_limits(connections: ConnectionLimits, memory: MemoryLimits) -> None:
    """Set the limits that are printed beside the gauges, so that the log tells which share was exhausted."""
    set_limit("resting_clients", connections.clients + connections.closing_clients)
    set_limit("client_threads", memory.client_threads)
    set_limit("incomplete_requests", memory.incomplete_requests)
    set_limit("request_bytes", memory.request_bytes)
    set_limit("message_bytes", memory.message_bytes)
    set_limit("calls", connections.calls)
    set_limit("spare_connections", connections.spare_endpoint_connections)
