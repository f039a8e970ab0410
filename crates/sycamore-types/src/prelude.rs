//! Common types of the workspace, re-exported for a single import.

pub use crate::account::{AccountTable, ClientAccount, KeyDigest};
pub use crate::event::{Event, EventKind};
pub use crate::fact::{Fact, FactKey};
pub use crate::hash::ContentHash;
pub use crate::id::*;
pub use crate::member::{Endpoints, Incarnation, Member, MemberState, MemberView};
pub use crate::outcome::{CallOutcome, OutcomeKind, RefusalReason};
pub use crate::rate::RateLimit;
pub use crate::resource::{
    CallerLimits, ConfigHead, FetchLimit, Limits, Repeat, Resource, RetryPolicy, Route,
    RoutePolicy, Service, WeightedService,
};
pub use crate::route_table::RouteTable;
pub use crate::share::{Share, ShareTable, VersionShare};
pub use crate::snapshot::Snapshot;
pub use crate::stamp::Stamp;
pub use crate::time::{Time, WallTime};
