//! Measurement commands: each prints a summary on standard error and one JSON object as the last
//! line of standard output.

mod calls;
mod converge;
mod limit;
mod members;
mod moves;
mod overload;
mod path;
mod violations;

pub use path::{caller_targets, mixed_call_kinds};
pub use violations::Violations;

use crate::Result;
use bpaf::{construct, Parser};
use serde::Serialize;
use std::time::Duration;

/// Longest time that a measurement may run before its processes are killed.
const LIMIT: Duration = Duration::from_secs(600);

/// Measurement to run, with its options.
#[derive(Debug, Clone)]
pub enum Command {
    /// Latency that nodes add to calls, and violated guarantees to callers under faults.
    Calls(calls::Options),
    /// Goodput, attempts and refusal latency at a multiple of capacity.
    Overload(overload::Options),
    /// Requests that upstreams with rate limits get, and one that leaves.
    Limit(limit::Options),
    /// Time from a configuration command to the configuration's use on every node.
    Converge(converge::Options),
    /// Membership: time to full membership, idle traffic, fault detection time.
    Members(members::Options),
    /// Mixed calls through nodes and upstreams, without faults.
    Path(path::Options),
    /// Release moves on simulated time.
    Moves(moves::Options),
}

/// Parses the `measure` subcommands.
pub fn parser() -> impl Parser<Command> {
    let path = path::parser()
        .to_options()
        .descr("Mixed calls through nodes and upstreams, at zlatna-klupa's current size.")
        .command("path")
        .map(Command::Path);
    let moves = moves::parser()
        .to_options()
        .descr(
            "Release moves on simulated time: share of good ones done and of bad ones taken back.",
        )
        .command("moves")
        .map(Command::Moves);
    let converge = converge::parser()
        .to_options()
        .descr("Time from a configuration command until every node uses the configuration.")
        .command("converge")
        .map(Command::Converge);
    let members = members::parser()
        .to_options()
        .descr(
            "Membership: time until all nodes know all others, idle traffic, fault detection time.",
        )
        .command("members")
        .map(Command::Members);
    let calls = calls::parser()
        .to_options()
        .descr("Latency that nodes add to calls, and violated guarantees to callers, under faults.")
        .command("calls")
        .map(Command::Calls);
    let overload = overload::parser()
        .to_options()
        .descr("Goodput, attempts and refusal latency above capacity, compared with blind retries.")
        .command("overload")
        .map(Command::Overload);
    let limit = limit::parser()
        .to_options()
        .descr("Requests that upstreams get which name rate limits, and one that leaves.")
        .command("limit")
        .map(Command::Limit);
    construct!([calls, overload, limit, converge, members, path, moves])
}

/// Runs the measurement `command`.
///
/// # Errors
/// The measurement could not be carried out. A figure out of bounds is a result, not an error.
pub async fn run(command: Command) -> Result<()> {
    let _limit = crate::fleet::guard::limit_run(LIMIT);
    match command {
        Command::Calls(options) => calls::run(options).await,
        Command::Overload(options) => overload::run(options).await,
        Command::Limit(options) => limit::run(options).await,
        Command::Converge(options) => converge::run(options).await,
        Command::Members(options) => members::run(options).await,
        Command::Path(options) => path::run(options).await,
        Command::Moves(options) => moves::run(options).await,
    }
}

/// Prints `result` as one line of JSON on standard output.
pub fn print(result: &impl Serialize) {
    match serde_json::to_string(result) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("result can't be written as JSON: {error}"),
    }
}
