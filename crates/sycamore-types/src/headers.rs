//! Header names that nodes, callers and upstreams use. Names under [`INTERNAL_PREFIX`] are only
//! used among nodes and stripped from what callers and upstreams send.

/// Prefix of the headers that only nodes may set.
pub const INTERNAL_PREFIX: &str = "x-shift-";

/// From callers: their identifier of the request. Lines of the log name it; an upstream that calls on
/// gives the call this identifier with a dot and something of its own behind it.
pub const REQUEST: &str = "shift-request";
/// On answers: `not-run` where the request certainly did not run, `unknown` where it may have.
pub const OUTCOME: &str = "shift-outcome";
/// On refusals: the reason, one word.
pub const REASON: &str = "shift-reason";
/// On requests: the time left for the call, in milliseconds.
pub const TIMEOUT_MS: &str = "shift-timeout-ms";
/// On requests: makes repeats of a non-idempotent request safe.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// On requests: `critical`, `normal` or `sheddable`.
pub const CRITICALITY: &str = "shift-criticality";
/// On requests: the name of the caller, for fairness and evidence.
pub const CALLER: &str = "shift-caller";

/// Among nodes: the call's identifier.
pub const CALL_ID: &str = "x-shift-call";
/// Among nodes, and towards an upstream that calls on: levels that the call is deep; a trailing `r`
/// says that an attempt on the way was a retry.
pub const HOPS: &str = "x-shift-hops";
/// Among nodes: the attempt's number within the call, from 1.
pub const ATTEMPT: &str = "x-shift-attempt";
/// Among nodes: the service meant, the route and the version chosen.
pub const ROUTE: &str = "x-shift-route";
/// Among nodes, on answers: load of the upstream, `in-flight/limit/queued`.
pub const LOAD: &str = "x-shift-load";
/// Among nodes: what identifies the request across its repeats.
pub const FINGERPRINT: &str = "x-shift-fingerprint";
/// Among nodes: the receiver is asked to keep the record of the call's idempotency key.
pub const KEEP: &str = "x-shift-keep";
/// Among nodes: hash of the caller's name or address.
pub const CALLER_HASH: &str = "x-shift-caller";
/// Among nodes: the service of the instance at which the call began.
pub const ORIGIN: &str = "x-shift-origin";
/// Among nodes: `1` where the call may run more than once.
pub const REPEATS: &str = "x-shift-repeats";
/// Among nodes: the time left until the call's answer is worth less, in milliseconds.
pub const OBJECTIVE_MS: &str = "x-shift-objective-ms";
/// Among nodes: longest time that the call may have been under way, in milliseconds.
pub const AGE_MS: &str = "x-shift-age-ms";
/// Among nodes, on refusals: the time to come back after, in milliseconds; `retry-after` has whole
/// seconds only.
pub const RETRY_AFTER_MS: &str = "x-shift-retry-after-ms";
/// Among nodes: the deployment's name.
pub const DEPLOYMENT: &str = "x-shift-deployment";
