//! Settings of a node, read from an INI file and checked, with all faults reported at once.

pub mod accounts;
pub mod calls;
pub mod check;
pub mod config;
pub mod hedge;
mod literal;
pub mod load;
pub mod moves;
pub mod node;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod shutdown;
pub mod unit;

pub use load::{from_file, from_text, Fault, SettingsError};

use serde::Serialize;

/// Settings of a node, with one field per section of the file.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Settings {
    /// Section `[node]`: identity of the node.
    pub node: node::Node,
    /// Section `[listen]`: addresses of the node's listeners.
    pub listen: node::Listen,
    /// Section `[platform]`: addresses of the platform and limits on its use.
    pub platform: platform::Platform,
    /// Section `[operator]`: access of operators.
    pub operator: operator::Operator,
    /// Section `[log]`: log level and limits on log lines.
    pub log: operator::Log,
    /// Section `[calls]`: routing, admission and retries of calls.
    pub calls: calls::Calls,
    /// Section `[accounts]`: client accounts.
    pub accounts: accounts::Accounts,
    /// Section `[hedge]`: second attempts for the slowest calls.
    pub hedge: hedge::Hedge,
    /// Section `[peers]`: timing of the failure detector.
    pub peers: peers::Peers,
    /// Section `[config]`: finding and fetching configurations.
    pub config: config::Config,
    /// Section `[moves]`: release moves and the timeline.
    pub moves: moves::Moves,
}
