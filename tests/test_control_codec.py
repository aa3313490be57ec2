"""The control channel's JSON: the bytes of each body are those of earlier versions."""

from __future__ import annotations

import pytest

from juniperward.control.codec import FRAME_HEADER, decode_answer, encode_answer, encode_request
from juniperward.control.errors import FieldError, MalformedAnswerError
from juniperward.control.protocol import (
    Answer,
    Body,
    Counters,
    DestinationRow,
    EndpointRow,
    ListedPhase,
    RedriveOutcomeRow,
    RedriveOutcomes,
    RedriveState,
    Request,
    Rows,
    Status,
    Verb,
)

STATUS = Status(
    name="name",
    version="version",
    pid=3,
    started_at=4.5,
    phase="phase",
    ready=True,
    pending=7,
    accepting=8,
    unacknowledged=9,
    attempts_in_flight=10,
    slots=11,
    max_open=12,
    oldest_pending_age_s=13.5,
    journal_bytes=14,
    journal_live_bytes=15,
    endpoint_list_version=16,
    endpoint_list_age_s=17.5,
    destinations=18,
    ejected_destinations=19,
    accepted=20,
    restored=21,
    delivered=22,
    given_up=23,
    rejected=24,
    attempts=25,
    attempts_failed=26,
    invariants_broken=27,
    dead_letters_stored=28,
    dead_letters_failed=29,
)
DESTINATION = DestinationRow(
    destination=3,
    health="well",
    queued=1,
    in_flight=2,
    rate_limit_per_s=4.5,
    listed_rate_per_s=5.0,
    retry_after_s=0.25,
    warming_up_for_s=None,
    mean_latency_s=0.125,
    ready_endpoints=2,
)
ENDPOINT = EndpointRow("s-1", "127.0.0.1:81", 3, ListedPhase.REMOVED, 1, 2)
OUTCOMES = RedriveOutcomes(
    12.5,
    (RedriveOutcomeRow("a", RedriveState.PENDING), RedriveOutcomeRow("b", RedriveState.DELIVERED, 3.5)),
)
ANSWERS: dict[Verb, tuple[Body, bytes]] = {
    Verb.STATUS: (
        STATUS,
        b'{"name":"name","version":"version","pid":3,"started":4.5,"phase":"phase","ready":true,"held":7,'
        b'"offered":8,"owed":9,"calls_out":10,"slots":11,"max_open":12,"oldest_held":13.5,"journal_bytes":14,'
        b'"journal_live":15,"registry_version":16,"registry_age":17.5,"destinations":18,"destinations_sick":19,'
        b'"taken_on":20,"restored":21,"delivered":22,"given_up":23,"turned_away":24,"calls":25,'
        b'"calls_failed":26,"broken":27,"kept":28,"kept_failed":29}',
    ),
    Verb.DESTINATIONS: (
        Rows(destinations=(DESTINATION,)),
        b'{"destinations":[{"destination":3,"health":"well","waiting":1,"in_flight":2,"pace":4.5,"rating":5.0,'
        b'"wait":0.25,"warming":null,"latency":0.125,"endpoints":2}],"workers":[]}',
    ),
    Verb.ENDPOINTS: (
        Rows(endpoints=(ENDPOINT,)),
        b'{"destinations":[],"workers":[{"id":"s-1","address":"127.0.0.1:81","destination":3,"phase":"gone",'
        b'"kind":1,"in_flight":2}]}',
    ),
    Verb.COUNTERS: (Counters({"attempts": 3}), b'{"counters":{"attempts":3}}'),
    Verb.REDRIVE_OUTCOMES: (
        OUTCOMES,
        b'{"complete_since":12.5,"fates":[{"id":"a","end":"held","ran_at":null},'
        b'{"id":"b","end":"delivered","ran_at":3.5}]}',
    ),
}


@pytest.mark.parametrize("verb", ANSWERS)
def test_each_body_is_encoded_to_its_wire_format_and_back(verb: Verb) -> None:
    body, encoded_body = ANSWERS[verb]
    text = b'{"v":1,"id":7,"ok":true,"body":' + encoded_body + b"}"
    assert encode_answer(Answer(7, body)) == FRAME_HEADER.pack(len(text)) + text
    assert decode_answer(text, verb) == Answer(7, body)


@pytest.mark.parametrize(
    "verb", ["status", "destinations", "workers", "counters", "drain", "resume", "stop", "fate"]
)
def test_each_verb_is_encoded_as_its_name_on_the_wire(verb: str) -> None:
    text = b'{"v":1,"id":1,"verb":"' + verb.encode() + b'"}'
    assert encode_request(Request(1, Verb(verb))) == FRAME_HEADER.pack(len(text)) + text
    assert len(Verb) == 8


def test_a_field_error_names_the_field_as_on_the_wire() -> None:
    text = (
        b'{"v":1,"id":1,"ok":true,"body":{"destinations":[{"destination":1,"health":"well","waiting":"x"}]}}'
    )
    with pytest.raises(FieldError) as caught:
        decode_answer(text, Verb.DESTINATIONS)
    assert caught.value.place == "body.destinations[0].waiting"


def test_a_body_without_a_required_field_is_rejected() -> None:
    with pytest.raises((FieldError, MalformedAnswerError), match="body"):
        decode_answer(b'{"v":1,"id":1,"ok":true,"body":{"held":3}}', Verb.STATUS)
