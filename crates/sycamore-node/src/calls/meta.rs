//! What nodes tell each other about a call, in headers.

pub(super) use crate::edge::native::text;

use crate::edge::native::{class, set, timeout};
use http::HeaderMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use sycamore_call::Criticality;
use sycamore_types::headers;
use sycamore_types::prelude::*;

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

    pub(super) fn to_text(self) -> String {
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
    /// The service of the instance at which the call began.
    pub(super) origin: ServiceName,
    /// When this node took it in.
    pub(super) began: Time,
    /// Longest time that it may have been under way before that.
    pub(super) unread: Duration,
    /// It may run more than once.
    pub(super) repeats: bool,
    /// Until when its answer is worth most.
    pub(super) objective: Option<Time>,
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

    /// Longest time that the call may have been under way at `now`.
    pub(super) fn age(&self, now: Time) -> Duration {
        self.unread.saturating_add(now.since(self.began))
    }

    /// What kind of work the call is: calls of one route take about as long as each other.
    pub(super) fn work(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.route.hash(&mut hasher);
        hasher.finish()
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
        set(fields, headers::ORIGIN, self.origin.as_str());
        set(fields, headers::REPEATS, if self.repeats { "1" } else { "0" });
        if let Some(objective) = self.objective {
            let left = objective.since(now).as_millis();
            set(fields, headers::OBJECTIVE_MS, &left.to_string());
        }
        set(fields, headers::AGE_MS, &self.age(now).as_millis().to_string());
        set(fields, headers::HOPS, &self.depth.to_text());
        let left = u64::try_from(self.left(now).as_millis()).unwrap_or(u64::MAX);
        set(fields, headers::TIMEOUT_MS, &left.to_string());
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

    /// Reads what another node wrote; `None` where a part is missing or malformed.
    /// It may have lain here for `unread` before it was read.
    pub(super) fn read(
        now: Time,
        unread: Duration,
        fields: &HeaderMap,
    ) -> Option<(Self, Option<Target>)> {
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
            origin: ServiceName::new(text(fields, headers::ORIGIN)?).ok()?,
            began: now,
            // A node that doesn't say may have held it for as long as can be.
            unread: text(fields, headers::AGE_MS)
                .and_then(|age| age.parse().ok())
                .map_or(Duration::MAX, Duration::from_millis)
                .saturating_add(unread),
            repeats: text(fields, headers::REPEATS) == Some("1"),
            objective: text(fields, headers::OBJECTIVE_MS)
                .and_then(|left| left.parse().ok())
                .map(|left| now + Duration::from_millis(left)),
        };
        Some((meta, target))
    }
}
