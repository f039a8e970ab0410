//! Mesh configuration: validation, content-addressed manifests, and atomic application on a node.
//!
//! A [`Bundle`] is an operator's configuration, validated as a whole and encoded as a [`Manifest`]
//! of content hashes. [`Apply`] is the state machine that fetches a manifest's resources and
//! replaces the configuration in force atomically. [`Floor`] determines the lowest version that a
//! starting node may serve, [`PollSettings`] the interval between reads of the head row, and [`Watch`]
//! which nodes watch the operators' rows.

pub mod apply;
pub mod bundle;
pub mod delta;
pub mod diff;
pub mod floor;
pub mod follow;
pub mod freshness;
pub mod head;
pub mod manifest;
pub mod newer;
pub mod poll;
pub mod watch;

pub use crate::apply::{
    Action, Apply, ApplySettings, ConfigSize, FetchAnswer, Input, RejectReason, Source,
};
pub use crate::bundle::{Bundle, Fault};
pub use crate::delta::Delta;
pub use crate::diff::Diff;
pub use crate::floor::{Floor, FloorSettings, PeerHead};
pub use crate::freshness::Freshness;
pub use crate::head::HeadRow;
pub use crate::manifest::{Encoded, Manifest};
pub use crate::newer::{NewerVersions, OutOfDate};
pub use crate::poll::PollSettings;
pub use crate::watch::{Role, Watch, WatchSettings};
