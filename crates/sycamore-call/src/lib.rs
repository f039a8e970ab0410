//! Decision logic for calls: routing, admission, retries, idempotency and quarantine.
//!
//! All code in this crate is pure: time and random seeds are inputs, decisions are outputs, and
//! nothing opens a socket or reads a clock. The node beside an upstream uses [`Gate`],
//! [`Admission`], [`KeyTable`] and [`CrashLog`]; the node that a caller connects to uses [`Router`]
//! and [`RetryBudget`].

pub mod admit;
pub mod announce;
pub mod credit;
pub mod gate;
pub mod hedge;
pub mod key;
pub mod load;
pub mod quarantine;
pub mod report;
pub mod retry;
pub mod route;

pub use admit::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};
pub use gate::Gate;
pub use key::{KeyDecision, KeyHash, KeyTable, KeyTableConfig, Ownership, OwnershipStatus};
pub use load::Load;
pub use quarantine::{CrashLog, CrashLogConfig};
pub use retry::{AttemptFailure, RetryBudget, RetryBudgets, RetryConfig, RetryDecision};
pub use route::{Choice, Pick, Router, RouterConfig};
