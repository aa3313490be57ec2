"""Tuned values of the scheduler's decisions.

The suffix of a name gives the unit: `_S` is seconds, `_PER_S` is calls a second, `_SPANS` is a number of
overload spans. `_FACTOR` and `_FRACTION` multiply another value. `_JITTER_FACTORS` are the bounds of a random
factor that spreads the calls of many forwarders over time.

HEALTHY_SLOT_FRACTION, SLOW_OR_EJECTED_SLOT_FRACTION, IDLE_EXPIRY_S, RATE_CUT_FACTOR, MIN_TOTAL_RATE_PER_S and
RATE_INCREASE_PER_S are figures of docs/design.md.
"""

# Deficit round robin and slots

# The quantum that each pass adds to a deficit, as a fraction of the shortest latency objective.
QUANTUM_OBJECTIVE_FRACTION = 0.25
# The largest fraction of the slots that one healthy destination may occupy.
HEALTHY_SLOT_FRACTION = 0.75
# The largest fraction of the slots that one slow or ejected destination may occupy.
SLOW_OR_EJECTED_SLOT_FRACTION = 0.5
# The largest fraction of the slots that trials of all ejected destinations may occupy together.
TRIAL_SLOT_FRACTION = 0.25
# What was learned of a destination is dropped after this time without calls.
IDLE_EXPIRY_S = 60.0
# Routing looks at the recently called endpoints of a destination, and at a random sample of the others.
MAX_RECENT_ENDPOINTS = 24
ENDPOINT_SAMPLE_SIZE = 6

# Admission and retries

# A message with attempts left, which has surely not been executed, is not given up before this fraction of
# its time has passed. The operators' terms give the value.
MIN_ATTEMPT_TIME_FRACTION = 0.7
# Load is shed above this fraction of `max_open`, so that the caller does not have to reject messages itself.
LOAD_SHEDDING_FRACTION = 0.95
# The backoff before the second attempt; it doubles with each further attempt, up to the maximum.
RETRY_INITIAL_BACKOFF_S = 0.2
RETRY_MAX_BACKOFF_S = 2.0
RETRY_JITTER_FACTORS = (0.75, 1.25)
# Repeats stop this long before the end of a deduplication window, as a call takes time to arrive.
DEDUPLICATION_MARGIN_S = 0.02

# Latencies

# The weight of the newest latency in the running mean, and in the slower mean that serves as the baseline.
# Some ten attempts count in the first one, and ten times as many in the second.
LATENCY_MEAN_WEIGHT = 0.2
BASELINE_LATENCY_WEIGHT = 0.02
# A destination is slow if its mean latency exceeds its baseline by this factor.
SLOW_FACTOR = 3.0
# An attempt is overdue after this multiple of the mean latency, and no earlier than the minimum, as a short
# pause is no outage.
OVERDUE_FACTOR = 5.0
MIN_OVERDUE_S = 1.0
# Another attempt is useless with less time left than this multiple of the mean latency. Where no mean is
# known, the bound is a number of timer steps.
MIN_USEFUL_LATENCY_FACTOR = 0.5
MIN_USEFUL_TIMER_STEPS = 2

# Rate limits

# The time constant of the decaying delivery rate; it spans several bursts.
RATE_MEMORY_S = 8.0
# A delivery rate is computed over at least this time.
MIN_RATE_OBSERVATION_S = 2.0
# A rejection multiplies the rate limit by this factor.
RATE_CUT_FACTOR = 0.5
# The lowest rate limit of all forwarders together.
MIN_TOTAL_RATE_PER_S = 1.0
# Without rejections, a rate limit grows by this rate at each interval.
RATE_INCREASE_PER_S = 1.0
RATE_RAISE_INTERVAL_S = 1.0
# A cut keeps at least this fraction of a known quota: far below the quota, rejections have another cause.
QUOTA_FLOOR_FRACTION = 0.9
# The growth of a rate limit with a known quota at each interval, as a fraction of the quota.
QUOTA_STEP_FRACTION = 0.2
# In a large fleet, a rate limit grows by this fraction of the quota directly after a cut. The fraction
# doubles with each second since the cut.
CAUTIOUS_QUOTA_STEP_FRACTION = 0.02
# A rate limit allows at least this number of calls within the shortest deadline, so that a message does not
# wait for all of its time.
MIN_CALLS_PER_DEADLINE = 2.0
# The first call after a cut, or after a Retry-After, waits for this multiple of the rate limit's interval.
LIMITED_CALL_JITTER_FACTORS = (0.75, 1.25)
RETRY_AFTER_JITTER_FACTORS = (0.0, 0.5)
# The weight of the newest reported limit in its running mean.
LOAD_REPORT_WEIGHT = 0.2
# A load report can be this old: it may describe the endpoint as it was before the rejections began.
LOAD_REPORT_DELAY_S = 2.0
# Below this fraction of capacity left, a reported limit counts as exhausted, as the reports are noisy.
EXHAUSTED_CAPACITY_FRACTION = 0.2
# In a fleet of up to this size, a forwarder applies the limits without allowing for the others.
SMALL_FLEET_MAX_INSTANCES = 5
# An outage is assumed after this number of rejections in a row, over at least this time.
OUTAGE_MIN_REJECTIONS = 8
OUTAGE_MIN_DURATION_S = 1.0

# Batching

# Calls are spaced by this fraction of the interval that a quota allows, and by no more than a fraction of the
# shortest latency objective.
CALL_SPACING_FACTOR = 0.8
MAX_CALL_SPACING_FRACTION = 0.5
# The weight of each further message of a call, relative to a call with one message.
BATCH_ITEM_WEIGHT = 0.25

# Outlier detection

# An endpoint is unhealthy after this number of failures in a row, normally and during its warm-up.
UNHEALTHY_CONSECUTIVE_FAILURES = 4
WARM_UP_UNHEALTHY_CONSECUTIVE_FAILURES = 2
# An endpoint is also unhealthy if this number of the latest calls failed.
FAILURE_WINDOW_CALLS = 12
UNHEALTHY_WINDOW_FAILURES = 8
# Where calls are few, failed connections show an outage from this number in a row on; fewer may be chance.
LOW_TRAFFIC_OUTAGE_FAULTS = 2
# An endpoint is reachable if it answered within the dial timeout and this margin.
REACHABLE_MARGIN_S = 1.0
# An endpoint is unresponsive with this number of overdue calls; a single one may be a lost connection.
UNRESPONSIVE_OVERDUE_CALLS = 2
# A call that later calls overtook is cancelled after this multiple of the overdue time.
LOST_CALL_FACTOR = 2.0
# A call with a message that may not be retried is cancelled only after this multiple of the overdue time, to
# free a slot. The message then fails.
LAST_RESORT_FACTOR = 3.0
# After a delivery within this number of overload spans, a large fleet does not take a failure for an outage.
RECENT_DELIVERY_SPANS = 2.0

# Connections

# The idle timeout of connections is cut when a connection table is full, and raised with each answer.
KEEPALIVE_CUT_FACTOR = 0.5
KEEPALIVE_RAISE_FACTOR = 1.1

# Slow start

# Trials use this fraction of the calls that all forwarders may send before the warm-up. The calls of the
# warm-up use the rest.
TRIAL_BUDGET_FRACTION = 0.5
# The shortest interval between trials of a large fleet, and of a small one where the limit is listed.
MIN_TRIAL_INTERVAL_S = 1.0
# The longest interval between trials of a small fleet.
MAX_TRIAL_INTERVAL_SPANS = 2.0
TRIAL_JITTER_FACTORS = (0.5, 1.5)
# The next trial comes no later than the warm-up times these factors after the end of a Retry-After.
WARM_UP_JITTER_FACTORS = (1.0, 1.5)
# Each further outage multiplies the remembered rate by this factor.
RATE_BEFORE_OUTAGE_DECAY_FACTOR = 0.5

# Endpoint list

# The backoff from the start of a failed poll to the next; it doubles up to the maximum. The initial value is
# also the minimum wait after the failure. Jitter applies to both.
POLL_INITIAL_BACKOFF_S = 0.5
POLL_MAX_BACKOFF_S = 1.4
POLL_JITTER_FACTORS = (0.75, 1.25)
