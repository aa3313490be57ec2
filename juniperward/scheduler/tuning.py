"""The tuned values of all decisions, with units and reasons; (design) means a figure of docs/design.md."""

# Deficit round robin and slots
QUANTUM_OBJECTIVE_FRACTION = (
    0.25  # of the shortest latency objective: what each pass adds to a deficit (design)
)
HEALTHY_SLOT_FRACTION = 0.75  # of the slots: what one destination may fill (design)
EJECTED_SLOT_FRACTION = 0.5  # of the slots: what one that is slow or ejected may fill (design)
TRIAL_SLOT_FRACTION = 0.25  # of the slots: for trials of all ejected destinations; the others need the rest
IDLE_EXPIRY_S = 60.0  # after which what was learned of an idle destination is forgotten (design)
MAX_RECENT_ENDPOINTS = 24  # recently called ones of a destination, which routing looks at
ENDPOINT_SAMPLE_SIZE = 6  # further ones, at random, that routing looks at

# Admission and retries
MIN_ATTEMPT_TIME_FRACTION = 0.7  # of its time, before which what has not executed is not given up (operators)
LOAD_SHEDDING_FRACTION = 0.95  # of `max_open`, beyond which load is shed, before the caller must do so
RETRY_INITIAL_BACKOFF_S = 0.2  # before the second attempt; doubles with each
RETRY_MAX_BACKOFF_S = 2.0  # before any attempt
RETRY_JITTER_FACTORS = (0.75, 1.25)  # x that, at random: many must not come back at one moment
DEDUPLICATION_MARGIN_S = 0.02  # left of a deduplication window: a call takes time to arrive

# Latencies
LATENCY_MEAN_WEIGHT = 0.2  # of the newest latency in a running mean: some ten attempts count
BASELINE_LATENCY_WEIGHT = 0.02  # of the newest latency in the baseline: ten times as many
SLOW_FACTOR = 3.0  # a destination is slow whose mean is over so many times its baseline
OVERDUE_FACTOR = 5.0  # x the mean latency, after which an attempt is overdue
MIN_OVERDUE_S = 1.0  # the least such time: a short pause is no outage
MIN_USEFUL_LATENCY_FACTOR = 0.5  # x the mean latency: with less time left, another attempt is of no use
MIN_USEFUL_TIMER_STEPS = 2  # x the timer's resolution: the same where no mean is known

# Rate limits, calls a second
RATE_MEMORY_S = 8.0  # over which the delivered rate is remembered: several times a usual burst
MIN_RATE_OBSERVATION_S = 2.0  # a rate counts as observed for so long at least
RATE_CUT_FACTOR = 0.5  # x the limit, at a rejection (design)
MIN_TOTAL_RATE_PER_S = 1.0  # least limit of all forwarders together (design)
RATE_INCREASE_PER_S = 1.0  # growth a second without rejections (design)
RATE_RAISE_INTERVAL_S = 1.0  # from raise to raise
QUOTA_FLOOR_FRACTION = 0.9  # x the quota of a listed rate: far below it, a rejection has another cause
QUOTA_STEP_FRACTION = 0.2  # x that quota: growth a second
CAUTIOUS_QUOTA_STEP_FRACTION = 0.02  # x the quota, in a large fleet: its first growth, doubling each second
MIN_CALLS_PER_DEADLINE = 2.0  # that a limit leaves: a message must not wait for all of its time
LIMITED_CALL_JITTER_FACTORS = (0.75, 1.25)  # x the interval of a new limit, before the next call
RETRY_AFTER_JITTER_FACTORS = (0.0, 0.5)  # x that interval, after a Retry-After: not all forwarders at its end
LOAD_REPORT_WEIGHT = 0.2  # of the newest reported limit in a running mean
LOAD_REPORT_DELAY_S = 2.0  # of rejections, after which a load report is surely not from before them
EXHAUSTED_CAPACITY_FRACTION = (
    0.2  # of a reported limit left, under which it counts as used up: reports are noisy
)
SMALL_FLEET_MAX_INSTANCES = 5  # forwarders, up to which each applies the design's figures without a division
OUTAGE_MIN_REJECTIONS = 8  # in a row without a delivery,
OUTAGE_MIN_DURATION_S = 1.0  # and over such a time: an outage

# Batching
CALL_SPACING_FACTOR = 0.8  # x the interval that a quota leaves for each call: the spacing of calls
MAX_CALL_SPACING_FRACTION = 0.5  # of the shortest latency objective: the most that they are spaced by
BATCH_ITEM_WEIGHT = 0.25  # of each further message of a call, against a call of one

# Outlier detection
UNHEALTHY_CONSECUTIVE_FAILURES = 4  # after which an endpoint is unhealthy,
WARM_UP_UNHEALTHY_CONSECUTIVE_FAILURES = 2  # the same while it warms up,
FAILURE_WINDOW_CALLS = 12  # or of so many latest calls
UNHEALTHY_WINDOW_FAILURES = 8  # so many failed
LOW_TRAFFIC_OUTAGE_FAULTS = 2  # failed connections that may be chance where calls are few
REACHABLE_MARGIN_S = 1.0  # beyond the dial time-out: an endpoint that answered since then is reachable
UNRESPONSIVE_OVERDUE_CALLS = (
    2  # overdue calls that make an endpoint unresponsive: one may be a lost connection
)
LOST_CALL_FACTOR = 2.0  # x the overdue time, after which a call that later ones overtook is cancelled
LAST_RESORT_FACTOR = 3.0  # x the overdue time, before a call is cancelled whose message must then fail
RECENT_DELIVERY_SPANS = 2.0  # x the overload span since a delivery: failures show a large fleet no outage yet

# Connections
KEEPALIVE_CUT_FACTOR = 0.5  # x the time that idle connections stay open, at a full connection table
KEEPALIVE_RAISE_FACTOR = 1.1  # x that time, with each answer

# Slow start
TRIAL_BUDGET_FRACTION = 0.5  # of what all forwarders may send before the warm-up: the rest is for its calls
MIN_TRIAL_INTERVAL_S = 1.0  # between trials where the list says what a destination takes
MAX_TRIAL_INTERVAL_SPANS = 2.0  # x the overload span: longest spacing of a small fleet's trials
TRIAL_JITTER_FACTORS = (0.5, 1.5)  # x a trial's spacing
WARM_UP_JITTER_FACTORS = (1.0, 1.5)  # x the warm-up after a Retry-After
RATE_BEFORE_OUTAGE_DECAY_FACTOR = 0.5  # x the remembered rate, with each further outage

# Endpoint list
POLL_INITIAL_BACKOFF_S = 0.5  # from poll to poll after a failure, doubling; also the least between two polls
POLL_MAX_BACKOFF_S = 1.4  # the most
POLL_JITTER_FACTORS = (0.75, 1.25)  # x that, at random: a fleet must not poll at one moment
