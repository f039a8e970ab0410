//! Names of the HTTP headers that nodes, callers and upstreams exchange. Names under
//! [`INTERNAL_PREFIX`] are for requests between nodes; a node strips them from what callers and
//! upstreams send.

/// Prefix of the headers that only nodes may set.
pub const INTERNAL_PREFIX: &str = "x-shift-";

/// Set by upstreams on answers: maximum rate of requests that the upstream takes from all callers
/// together, in requests per second; an answer without it states that there is none.
pub const RATE_LIMIT: &str = "shift-rate-limit";
/// Set by upstreams on answers: `1` where the upstream is leaving and takes no new calls.
pub const LEAVING: &str = "shift-leaving";
/// Set by callers: identifier of the request, which log lines repeat. An upstream that makes a call
/// of its own sends this identifier, a dot and a suffix of its choice.
pub const REQUEST: &str = "shift-request";
/// Set on answers: `not-run` where the request certainly did not run, `unknown` where it may have
/// run.
pub const OUTCOME: &str = "shift-outcome";
/// Set on refusals: the refusal's reason, one word.
pub const REASON: &str = "shift-reason";
/// Set on requests: time left for the call, in milliseconds.
pub const TIMEOUT_MS: &str = "shift-timeout-ms";
/// Set on requests: key under which repeats of a non-idempotent request run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set on requests: `critical`, `normal` or `sheddable`.
pub const CRITICALITY: &str = "shift-criticality";
/// Set on requests: name of the caller, used for fair queueing and for evidence on versions.
pub const CALLER: &str = "shift-caller";

/// Between nodes: identifier of the call.
pub const CALL_ID: &str = "x-shift-call";
/// Between nodes, and on requests to an upstream that makes calls of its own: depth of the call; a
/// trailing `r` means that an attempt above was a retry.
pub const HOPS: &str = "x-shift-hops";
/// Between nodes: number of the attempt within the call, from 1.
pub const ATTEMPT: &str = "x-shift-attempt";
/// Between nodes: requested service, route, and chosen version.
pub const ROUTE: &str = "x-shift-route";
/// Between nodes, on answers: load of the upstream, `in-flight/limit/queued`.
pub const LOAD: &str = "x-shift-load";
/// Between nodes, on answers and on requests: what the sender knows of the upstream process beside
/// the answering or receiving node, `process/limit/leaving`; absent where that restricts nothing.
pub const REPORT: &str = "x-shift-report";
/// Between nodes, on answers of a key's owner with a [`REPORT`]: instance whose upstream process the
/// report is about.
pub const REPORT_OF: &str = "x-shift-report-of";
/// Between nodes: fingerprint of the request, equal for all of its repeats.
pub const FINGERPRINT: &str = "x-shift-fingerprint";
/// Between nodes: asks the receiver to keep the record of the call's idempotency key.
pub const KEEP: &str = "x-shift-keep";
/// Between nodes: hash of the caller's name or address.
pub const CALLER_HASH: &str = "x-shift-caller";
/// Between nodes: client account of the call.
pub const ACCOUNT: &str = "x-shift-account";
/// Set on requests to an upstream: client account of the call.
pub const CLIENT_ACCOUNT: &str = "shift-account";
/// Between nodes: service of the instance that the call entered at.
pub const ORIGIN: &str = "x-shift-origin";
/// Between nodes: `1` where the call may run more than once.
pub const REPEATS: &str = "x-shift-repeats";
/// Between nodes: time left until the call's objective, after which its answer is worth less, in
/// milliseconds.
pub const OBJECTIVE_MS: &str = "x-shift-objective-ms";
/// Between nodes: upper bound of the time since the call was sent, in milliseconds.
pub const AGE_MS: &str = "x-shift-age-ms";
/// Between nodes, on refusals: time to wait before a retry, in milliseconds, since `retry-after`
/// has a resolution of seconds.
pub const RETRY_AFTER_MS: &str = "x-shift-retry-after-ms";
/// Between nodes: name of the deployment.
pub const DEPLOYMENT: &str = "x-shift-deployment";
