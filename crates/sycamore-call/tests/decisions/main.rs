//! Tests of the decision logic for calls.
#![allow(clippy::unwrap_used)]

mod admit;
mod announce;
mod common;
mod credit;
mod false_rate;
mod gate;
mod hedge;
mod key;
mod limit;
mod load;
mod model;
mod quarantine;
mod rate;
mod report;
mod retry;
mod route;
mod scenario;
mod unread;
mod warm_up;
mod work;
