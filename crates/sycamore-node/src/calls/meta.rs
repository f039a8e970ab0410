//! What nodes tell each other about a call, in headers.

use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;
use sycamore_call::Criticality;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Longest time that a caller may ask for.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// How deep a call is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Depth {
    /// Levels above this call.
    pub(super) level: u8,
    /// An attempt on the way here was a retry.
    pub(super) is_retry: bool,
}

impl Depth {
    pub(super) fn read(fields: &HeaderMap) -> Self {
        let Some(text) = text(fields, headers::HOPS) else { return Self::default() };
        let digits = text.strip_suffix('r').unwrap_or(text);
        // What can't be read must not pass as shallow.
        let level = digits.parse().unwrap_or(u8::MAX);
        Self { level, is_retry: digits.len() < text.len() }
    }

    fn to_text(self) -> String {
        format!("{}{}", self.level, if self.is_retry { "r" } else { "" })
    }
}

/// What travels with a call.
#[derive(Debug, Clone)]
pub(super) struct CallMeta {
    pub(super) call: CallId,
    pub(super) service: ServiceName,
    pub(super) route: RouteName,
    pub(super) fingerprint: Fingerprint,
    pub(super) caller: u64,
    pub(super) class: Criticality,
    pub(super) depth: Depth,
    pub(super) deadline: Time,
}

/// The version that an attempt is meant for.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) version: UpstreamVersion,
    pub(super) share: Share,
}

impl CallMeta {
    /// Time left at `now`.
    pub(super) fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// A number from 0 to 9,999, the same for this call at every node.
    pub(super) fn draw(&self) -> u16 {
        // The remainder is below 10,000.
        (self.call.0 % 10_000) as u16
    }

    /// Writes what another node must know; `target` is `None` for the keeper of a key.
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
        self.write_for_upstream(now, fields);
        let (version, share) = match target {
            Some(target) => (target.version.as_str(), target.share.basis_points()),
            None => ("-", 0),
        };
        let route = format!("{};{};{version};{share}", self.route, self.service);
        set(fields, headers::ROUTE, &route);
        if target.is_none() {
            set(fields, headers::KEEP, "1");
        }
    }

    /// Writes what an upstream must know: how deep the call is and the time left for it.
    pub(super) fn write_for_upstream(&self, now: Time, fields: &mut HeaderMap) {
        set(fields, headers::HOPS, &self.depth.to_text());
        let left = u64::try_from(self.left(now).as_millis()).unwrap_or(u64::MAX);
        set(fields, headers::TIMEOUT_MS, &left.to_string());
    }

    /// Reads what another node wrote; `None` where a part is missing or malformed.
    pub(super) fn read(now: Time, fields: &HeaderMap) -> Option<(Self, Option<Target>)> {
        let mut parts = text(fields, headers::ROUTE)?.splitn(4, ';');
        let route = RouteName::new(parts.next()?).ok()?;
        let service = ServiceName::new(parts.next()?).ok()?;
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
        };
        Some((meta, target))
    }
}

/// The class that a request names.
pub(super) fn class(fields: &HeaderMap) -> Criticality {
    text(fields, headers::CRITICALITY).map_or(Criticality::default(), Criticality::from_text)
}

/// The time that a request names.
pub(super) fn timeout(fields: &HeaderMap) -> Option<Duration> {
    let millis = text(fields, headers::TIMEOUT_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis).min(MAX_TIMEOUT))
}

/// The field `name` as text.
pub(super) fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

fn set(fields: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        fields.insert(HeaderName::from_static(name), value);
    }
}
