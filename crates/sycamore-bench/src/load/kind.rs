//! Kinds of calls.

use http::Method;

/// How a kind of call uses idempotency keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KeyUse {
    /// Not at all.
    #[default]
    None,
    /// Each call has one of its own.
    Once,
    /// Each call has one of its own and is sent a second time shortly after.
    Repeated,
}

/// A kind of call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallKind {
    /// How often it is drawn, against the others.
    pub weight: u32,
    /// Its method.
    pub method: Method,
    /// Its path; `{}` becomes the call's token.
    pub path: String,
    /// Size of its body in bytes.
    pub body: usize,
    /// Size of its answer's body in bytes, where it asks for one.
    pub answer: Option<usize>,
    /// Work it asks for in microseconds, instead of the upstream's own.
    pub work_us: Option<u64>,
    /// How it uses idempotency keys.
    pub key: KeyUse,
    /// Paths that the upstream calls onward, one from the other.
    pub onward: Vec<String>,
    /// Its criticality, where it names one.
    pub criticality: Option<&'static str>,
    /// It crashes the upstream that runs it.
    pub crash: bool,
    /// Time left for it in milliseconds, where it names one.
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
            onward: Vec::new(),
            criticality: None,
            crash: false,
            timeout_ms: None,
        }
    }
}

impl CallKind {
    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD | Method::PUT | Method::DELETE)
    }

    /// A lookup at `service`.
    pub fn lookup(service: &str) -> Self {
        Self { weight: 60, path: format!("/{service}/status/{{}}"), ..Self::default() }
    }

    /// A booking or intake at `service`, without an idempotency key.
    pub fn booking(service: &str) -> Self {
        Self {
            weight: 15,
            method: Method::POST,
            path: format!("/{service}/entries"),
            body: 300,
            ..Self::default()
        }
    }

    /// A booking or intake at `service`, with an idempotency key and sent twice.
    pub fn repeated(service: &str) -> Self {
        Self { weight: 5, key: KeyUse::Repeated, ..Self::booking(service) }
    }

    /// A lookup at `service` that looks up at `other` in turn.
    pub fn chained(service: &str, other: &str) -> Self {
        let onward = vec![format!("/{other}/status/onward")];
        Self { weight: 10, onward, ..Self::lookup(service) }
    }
}

/// Photos of a few sizes sent to `service` and fetched from it.
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
