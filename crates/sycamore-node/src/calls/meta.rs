//! Metadata of a call, and the header fields that carry it between nodes.

pub(super) use crate::edge::native::{set, text};

use super::report::read_report;
use crate::edge::native::{class, timeout};
use http::HeaderMap;
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use sycamore_call::admit::MAX_KINDS;
use sycamore_call::report::ProcessReport;
use sycamore_call::Criticality;
use sycamore_config::bundle::MAX_RESOURCES;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Characters of a service's name that are escaped between nodes: all that no identifier has. Some
/// separate the parts of a field, and those beyond ASCII not every reader of a field accepts.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b':');

// Every route of a configuration may be a kind of work.
const _: () = assert!(MAX_RESOURCES <= MAX_KINDS);

/// Depth of a call in a chain of upstreams that call further services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Depth {
    /// Level of the call in the chain: raised by 1 when a node receives the call from a caller or
    /// an upstream, and thus 1 for a caller's call.
    pub(super) level: u8,
    /// Whether an attempt of this call, or of a call above it in the chain, was a retry.
    pub(super) is_retry: bool,
}

impl Depth {
    pub(super) fn read(fields: &HeaderMap) -> Self {
        let Some(text) = text(fields, headers::HOPS) else { return Self::default() };
        let digits = text.strip_suffix('r').unwrap_or(text);
        // A malformed level counts as the maximum, so that it can't get around the hop limit.
        let level = digits.parse().unwrap_or(u8::MAX);
        Self { level, is_retry: digits.len() < text.len() }
    }

    pub(super) fn to_text(self) -> String {
        format!("{}{}", self.level, if self.is_retry { "r" } else { "" })
    }
}

/// Metadata of a call, passed from node to node.
#[derive(Debug, Clone)]
pub(super) struct CallMeta {
    pub(super) call: CallId,
    pub(super) service: ServiceName,
    pub(super) route: RouteName,
    /// Hash that identifies the request across its repeats.
    pub(super) fingerprint: Fingerprint,
    /// Hash of the caller's name or address.
    pub(super) caller: u64,
    pub(super) class: Criticality,
    pub(super) depth: Depth,
    pub(super) deadline: Time,
    /// Client account of the call; `None` if it has none.
    pub(super) account: Option<AccountName>,
    /// Service of the instance at which the call began.
    pub(super) origin: ServiceName,
    /// Time at which this node read the request's head.
    pub(super) received_at: Time,
    /// Upper bound on the call's age at `received_at`.
    pub(super) max_prior_age: Duration,
    /// What the sender knows of the upstream process at the receiving node.
    pub(super) report: Option<ProcessReport>,
    /// Number of the attempt within the call, from 1.
    pub(super) attempt: u8,
    /// Whether the call may run more than once.
    pub(super) is_repeatable: bool,
    /// Time after which the answer is worth less; `None` if the route sets no objective.
    pub(super) objective: Option<Time>,
}

/// Version that an attempt is sent to, and the share of calls by which it was chosen.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) version: UpstreamVersion,
    pub(super) share: Share,
}

impl CallMeta {
    /// Returns the time from `now` to the deadline, zero once it has passed.
    pub(super) fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns an upper bound on the call's age at `now`, including the time that its request may
    /// have waited unread in the nodes' socket buffers.
    pub(super) fn max_age(&self, now: Time) -> Duration {
        self.max_prior_age.saturating_add(now.since(self.received_at))
    }

    /// Returns a hash of the route, by which admission control estimates run times: calls of one
    /// route take about as long as each other.
    pub(super) fn work(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.route.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns a number from 0 to 9,999 that is derived from the call's identifier, so that every
    /// node draws the same one.
    pub(super) fn draw(&self) -> u16 {
        // The remainder is below 10,000.
        (self.call.0 % 10_000) as u16
    }

    /// Writes the metadata into the header fields of a request to another node; `target` is `None`
    /// if that node is the owner of the call's idempotency key.
    pub(super) fn write(
        &self,
        now: Time,
        deployment: &Deployment,
        target: Option<&Target>,
        attempt: u8,
        fields: &mut HeaderMap,
    ) {
        set(fields, headers::DEPLOYMENT, deployment.as_str());
        set(fields, headers::CALL_ID, &self.call.to_string());
        set(fields, headers::FINGERPRINT, &self.fingerprint.to_string());
        set(fields, headers::CALLER_HASH, &format!("{:x}", self.caller));
        set(fields, headers::ATTEMPT, &attempt.to_string());
        set(fields, headers::CRITICALITY, self.class.as_str());
        set(fields, headers::ORIGIN, &escape(&self.origin));
        if let Some(account) = &self.account {
            set(fields, headers::ACCOUNT, account.as_str());
        }
        set(fields, headers::REPEATS, if self.is_repeatable { "1" } else { "0" });
        if let Some(objective) = self.objective {
            let left = objective.since(now).as_millis();
            set(fields, headers::OBJECTIVE_MS, &left.to_string());
        }
        set(fields, headers::AGE_MS, &self.max_age(now).as_millis().to_string());
        set(fields, headers::HOPS, &self.depth.to_text());
        let left = u64::try_from(self.left(now).as_millis()).unwrap_or(u64::MAX);
        set(fields, headers::TIMEOUT_MS, &left.to_string());
        let (version, share) = match target {
            Some(target) => (target.version.as_str(), target.share.basis_points()),
            None => ("-", 0),
        };
        let route = format!("{};{};{version};{share}", self.route, escape(&self.service));
        set(fields, headers::ROUTE, &route);
        if target.is_none() {
            set(fields, headers::KEEP, "1");
        }
    }

    /// Reads the metadata that another node wrote; `None` if a field is missing or malformed.
    /// `unread` bounds the time that the request may have waited in this node's socket buffer. The
    /// target is `None` if this node is addressed as the owner of the call's idempotency key.
    pub(super) fn read(
        now: Time,
        unread: Duration,
        fields: &HeaderMap,
    ) -> Option<(Self, Option<Target>)> {
        let mut parts = text(fields, headers::ROUTE)?.splitn(4, ';');
        let route = RouteName::new(parts.next()?).ok()?;
        let service = unescape(parts.next()?)?;
        let version = parts.next()?;
        let share = parts.next()?.parse().ok()?;
        let target = match fields.contains_key(headers::KEEP) {
            true => None,
            false => Some(Target {
                version: UpstreamVersion::new(version).ok()?,
                share: Share::from_basis_points(share),
            }),
        };
        let meta = Self {
            call: text(fields, headers::CALL_ID)?.parse().ok()?,
            service,
            route,
            fingerprint: text(fields, headers::FINGERPRINT)?.parse().ok()?,
            caller: u64::from_str_radix(text(fields, headers::CALLER_HASH)?, 16).ok()?,
            class: class(fields),
            depth: Depth::read(fields),
            deadline: now + timeout(fields)?,
            account: match fields.get(headers::ACCOUNT) {
                Some(name) => Some(std::str::from_utf8(name.as_bytes()).ok()?.parse().ok()?),
                None => None,
            },
            origin: unescape(text(fields, headers::ORIGIN)?)?,
            received_at: now,
            // Without the field the age is unknown, and so counts as unbounded.
            max_prior_age: text(fields, headers::AGE_MS)
                .and_then(|age| age.parse().ok())
                .map_or(Duration::MAX, Duration::from_millis)
                .saturating_add(unread),
            report: read_report(fields),
            attempt: text(fields, headers::ATTEMPT).and_then(|text| text.parse().ok()).unwrap_or(1),
            is_repeatable: text(fields, headers::REPEATS) == Some("1"),
            objective: text(fields, headers::OBJECTIVE_MS)
                .and_then(|left| left.parse().ok())
                .map(|left| now + Duration::from_millis(left)),
        };
        Some((meta, target))
    }
}

/// Returns a service's name as header fields between nodes carry it; identifiers stay as they are.
fn escape(service: &ServiceName) -> String {
    utf8_percent_encode(service.as_str(), ESCAPED).to_string()
}

/// Returns the service's name that [`escape`] wrote; `None` if it is malformed.
fn unescape(text: &str) -> Option<ServiceName> {
    ServiceName::new(percent_decode_str(text).decode_utf8().ok()?).ok()
}

/// Returns the first eight bytes of a hash as a number.
pub(super) fn first_bytes(hash: &ContentHash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.0[..8]);
    u64::from_be_bytes(bytes)
}
