"""The tuned values of all decisions, with units and reasons; (design) means a figure of docs/design.md."""

# Turns and slots
QUANTUM_FRACTION = 0.25  # of the shortest latency objective, that a turn adds to a deficit (design)
HEALTHY_SLOT_FRACTION, EJECTED_SLOT_FRACTION = (
    0.75,
    0.5,
)  # of the slots that one destination may fill (design)
TRIAL_SLOT_FRACTION = 0.25  # of the slots for trials of all ejected destinations: the others need the rest
IDLE_EXPIRY_S = 60.0  # after which what was learned of an idle destination is forgotten (design)
RECENT_ENDPOINTS, SAMPLED_ENDPOINTS = 24, 6  # looked at of a wide destination: called of late, and drawn
# Admission and retries
MINIMUM_ATTEMPT_FRACTION = 0.7  # of its time, before which what has not executed is not given up (operators)
LOAD_SHEDDING_FRACTION = (
    0.95  # of the messages that may be open, beyond which load is shed before the door does so
)
RETRY_FIRST_S, RETRY_MAX_S = 0.2, 2.0  # before the next attempt, doubling
RETRY_JITTER = (0.75, 1.25)  # x that, at random: many must not come back at one moment
DEDUPLICATION_MARGIN_S = 0.02  # kept clear of a deduplication window's end: a call takes time to arrive
# Latencies
LATENCY_MEAN_WEIGHT = 0.2  # of the newest latency in a running mean: some ten attempts count
BASELINE_WEIGHT = 0.02  # of the newest latency in the usual one: ten times as many
SLOW_FACTOR = 3.0  # a destination is slow whose mean is over so many times its usual latency
OVERDUE_FACTOR, OVERDUE_MIN_S = 5.0, 1.0  # x the mean, when an attempt is overdue; a pause is no silence
# Rate limits, calls a second
RATE_MEMORY_S = 8.0  # over which the delivered rate is remembered: several times a usual burst
RATE_CUT, RATE_FLOOR, RATE_STEP_PER_S = (
    0.5,
    1.0,
    1.0,
)  # x at a rejection; least limit; growth a second (design)
LISTED_FLOOR_FRACTION = 0.9  # x the share of a listed rate: far below it, a rejection has another cause
LISTED_STEP_FRACTION = 0.2  # x that share: growth a second
CAUTIOUS_STEP_FRACTION = 0.02  # x the share, in a large fleet: its first growth, doubling each second
MIN_CALLS_PER_DEADLINE = 2.0  # that a limit leaves: a message must not wait for its whole time
LOAD_REPORT_DELAY_S = 2.0  # of rejections, after which a report is surely not from before them
USED_UP_FRACTION = 0.2  # of a reported limit left, under which it counts as used up: reports are noisy
SMALL_FLEET = 5  # forwarders, up to which each takes the design's figures whole
OUTAGE_REJECTIONS, OUTAGE_REJECTING_S = 8, 1.0  # in a row without a delivery, over such a time: an outage
# Batching
SPACING_FACTOR = 0.8  # calls are spaced by x the time that a share of a limit leaves for each
MAX_SPACING_FRACTION = 0.5  # x the shortest latency objective: the most that they are spaced by
BATCH_ITEM_WEIGHT = 0.25  # of each further message of a call, against a call of one
# Outlier detection
FAILURES_IN_ROW = 4  # an endpoint fails: so many in a row (two while it warms up),
RECENT_CALLS, RECENT_FAILURES = 12, 8  # or so many of its latest calls
UNRESPONSIVE_CALLS = 2  # overdue calls that tell silence: one may be a lost connection
LOST_CALL_FACTOR = 2.0  # x the overdue time, after which a call that later ones overtook is cancelled
LAST_RESORT_FACTOR = 3.0  # x the overdue time, before a call is cancelled whose message must then fail
RECENT_CONTACT_SPANS = (
    2.0  # x the overload span since a delivery: failures tell a large fleet of no outage yet
)
KEEPALIVE_CUT, KEEPALIVE_RISE = 0.5, 1.1  # x an idle connection's time: at a full table, with each answer
# Slow start
TRIAL_BUDGET_FRACTION = 0.5  # of what all forwarders may send to a cold destination: the rest is the ramp's
TRIAL_MIN_S = 1.0  # between trials where the list says what a destination takes
TRIAL_MAX_SPANS = 2.0  # x the overload span: longest spacing of a small fleet's trials
TRIAL_JITTER, WARM_UP_JITTER = (
    (0.5, 1.5),
    (1.0, 1.5),
)  # x a trial's spacing, and x the warm-up after Retry-After
# Endpoint list
POLL_FIRST_S, POLL_MAX_S = 0.5, 1.4  # from poll to poll, doubling; the first is also the least between two
POLL_JITTER = (0.75, 1.25)  # x that, at random: a fleet must not ask at one moment
