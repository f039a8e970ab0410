//! Kinds of calls that a load is composed of.

use http::Method;

/// Use of idempotency keys by a kind of call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KeyUse {
    /// Calls have no key.
    #[default]
    None,
    /// Each call has its own key.
    Once,
    /// Each call has its own key and is sent a second time with it shortly afterwards.
    Repeated,
}

/// Kind of call, from which a load draws.
#[derive(Debug, Clone, PartialEq)]
pub struct CallKind {
    /// Relative frequency of the kind.
    pub weight: u32,
    /// HTTP method of the calls.
    pub method: Method,
    /// Path of the calls; `{}` is replaced by the call's token.
    pub path: String,
    /// Size of the request's body in bytes.
    pub body: usize,
    /// Requested size of the answer's body in bytes; `None` for a short default body.
    pub answer: Option<usize>,
    /// Requested mean run time in microseconds; `None` for the upstream's own.
    pub work_us: Option<u64>,
    /// Use of idempotency keys by the calls.
    pub key: KeyUse,
    /// Paths of nested calls: the upstream calls the first path, the upstream reached there the second,
    /// and so on.
    pub nested_paths: Vec<String>,
    /// Value of the criticality header; `None` sends no such header.
    pub criticality: Option<&'static str>,
    /// Whether the call crashes the upstream that runs it.
    pub crash: bool,
    /// Timeout that the caller sends, in milliseconds; `None` sends none.
    pub timeout_ms: Option<u64>,
}

impl Default for CallKind {
    fn default() -> Self {
        Self {
            weight: 1,
            method: Method::GET,
            path: "/".into(),
            body: 0,
            answer: None,
            work_us: None,
            key: KeyUse::None,
            nested_paths: Vec::new(),
            criticality: None,
            crash: false,
            timeout_ms: None,
        }
    }
}

impl CallKind {
    /// Returns whether the method is idempotent, so that a call may run more than once.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD | Method::PUT | Method::DELETE)
    }

    /// Returns a status lookup at `service`.
    pub fn lookup(service: &str) -> Self {
        Self { weight: 60, path: format!("/{service}/status/{{}}"), ..Self::default() }
    }

    /// Returns a new entry (a booking or an intake) at `service`, without an idempotency key.
    pub fn booking(service: &str) -> Self {
        Self {
            weight: 15,
            method: Method::POST,
            path: format!("/{service}/entries"),
            body: 300,
            ..Self::default()
        }
    }

    /// Returns a new entry at `service` that is sent twice with the same idempotency key.
    pub fn repeated(service: &str) -> Self {
        Self { weight: 5, key: KeyUse::Repeated, ..Self::booking(service) }
    }

    /// Returns a status lookup at `service` for which its upstream makes a nested lookup at `other`.
    pub fn nested(service: &str, other: &str) -> Self {
        let nested_paths = vec![format!("/{other}/status/onward")];
        Self { weight: 10, nested_paths, ..Self::lookup(service) }
    }
}

/// Returns uploads of photos of 3 MiB to `service` and downloads of photos of 2 MiB from it.
pub fn photos(service: &str) -> [CallKind; 2] {
    let up = CallKind {
        weight: 1,
        method: Method::PUT,
        path: format!("/{service}/photos/{{}}"),
        body: 3 << 20,
        timeout_ms: Some(10_000),
        ..CallKind::default()
    };
    let down = CallKind { method: Method::GET, body: 0, answer: Some(2 << 20), ..up.clone() };
    [up, down]
}
