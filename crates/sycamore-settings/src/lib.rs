//! Node settings: read from INI, checked as a whole, with every fault named.

pub mod calls;
pub mod check;
pub mod config;
pub mod load;
pub mod moves;
pub mod node;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod unit;

pub use load::{from_file, from_text, Fault, SettingsError};

use serde::Serialize;

/// All settings of a node, a field for each section of the file.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Settings {
    /// `[node]`: who the node is.
    pub node: node::Node,
    /// `[listen]`: where it listens.
    pub listen: node::Listen,
    /// `[platform]`: the platform's table and object store.
    pub platform: platform::Platform,
    /// `[operator]`: the operators' listener.
    pub operator: operator::Operator,
    /// `[log]`: what is logged.
    pub log: operator::Log,
    /// `[calls]`: routing, admission and retries.
    pub calls: calls::Calls,
    /// `[peers]`: membership and spreading.
    pub peers: peers::Peers,
    /// `[config]`: finding and applying configurations.
    pub config: config::Config,
    /// `[moves]`: release moves and the time line.
    pub moves: moves::Moves,
}
