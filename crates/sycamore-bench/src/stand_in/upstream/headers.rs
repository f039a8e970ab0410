//! Headers by which load and upstreams of the development tool understand each other. Nodes pass
//! them on as they pass any header.

/// On requests and answers: identifies the request; answers echo it.
pub const TOKEN: &str = "bench-token";
/// On requests: time to work, in microseconds, instead of the upstream's own.
pub const WORK_US: &str = "bench-work-us";
/// On requests: paths to call onward, one after another in depth, separated by commas.
pub const ONWARD: &str = "bench-onward";
/// On requests: size of the answer's body in bytes.
pub const ANSWER_BYTES: &str = "bench-answer-bytes";
/// On requests: the upstream crashes when it runs it.
pub const CRASH: &str = "bench-crash";
/// On answers: checksum of the request's body as it arrived.
pub const RECEIVED_SUM: &str = "bench-received-sum";
/// On answers: checksum of the answer's body as it was sent.
pub const SENT_SUM: &str = "bench-sent-sum";
/// On answers: the instance that ran the request.
pub const INSTANCE: &str = "bench-instance";
/// On answers: the version that ran the request.
pub const VERSION: &str = "bench-version";
