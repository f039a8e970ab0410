//! Headers that the load generator and emulated upstreams exchange. Nodes forward them like any other
//! header.

/// Request and answer header: token that identifies the request; answers repeat it.
pub const TOKEN: &str = "bench-token";
/// Request header: mean run time in microseconds, instead of [`super::Options::work`].
pub const WORK_US: &str = "bench-work-us";
/// Request header: paths of nested calls, separated by commas. The upstream calls the first path and
/// passes the others on with that call.
pub const ONWARD: &str = "bench-onward";
/// Request header: size of the answer's body in bytes.
pub const ANSWER_BYTES: &str = "bench-answer-bytes";
/// Request header: the upstream crashes when it runs the request, whatever the value.
pub const CRASH: &str = "bench-crash";
/// Answer header: checksum of the request's body as the upstream received it.
pub const RECEIVED_SUM: &str = "bench-received-sum";
/// Answer header: checksum of the answer's body as the upstream sent it.
pub const SENT_SUM: &str = "bench-sent-sum";
/// Answer header: name of the instance that ran the request.
pub const INSTANCE: &str = "bench-instance";
/// Answer header: version of the upstream that ran the request.
pub const VERSION: &str = "bench-version";
