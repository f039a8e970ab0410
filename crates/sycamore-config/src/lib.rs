//! Configuration: manifests of hashed resources, their checks and the apply machine.
//!
//! An operator's [`Bundle`] is checked whole and becomes a [`Manifest`] of content hashes.
//! [`Apply`] brings a node from one manifest to the next in one step, [`Floor`] says from when on a
//! fresh node may serve, and [`PollSettings`] when to look for a new head.

pub mod apply;
pub mod bundle;
pub mod diff;
pub mod floor;
pub mod follow;
pub mod head;
pub mod manifest;
pub mod poll;

pub use crate::apply::{Action, Apply, ApplySettings, FetchAnswer, Input, RejectReason, Source};
pub use crate::bundle::{Bundle, Fault};
pub use crate::diff::Diff;
pub use crate::floor::{Floor, FloorSettings, PeerHead};
pub use crate::head::HeadRow;
pub use crate::manifest::{Encoded, Manifest};
pub use crate::poll::PollSettings;
