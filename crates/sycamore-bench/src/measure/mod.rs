//! Measurements: each a command that prints a summary on standard error and one JSON object as the
//! last line of standard output.

mod calls;
mod converge;
mod members;
mod moves;
mod overload;
mod path;
mod violations;

pub use path::{callers_of, kinds};
pub use violations::Violations;

use crate::Result;
use bpaf::{construct, Parser};
use serde::Serialize;
use std::time::Duration;

/// Longest time that a measurement may take before it is ended.
const LIMIT: Duration = Duration::from_secs(600);

/// A measurement with its options.
#[derive(Debug, Clone)]
pub enum Command {
    /// Time added to calls, and the promises under faults.
    Calls(calls::Options),
    /// Load above capacity.
    Overload(overload::Options),
    /// Convergence of configurations.
    Converge(converge::Options),
    /// Membership of a fleet.
    Members(members::Options),
    /// Mixed calls along the whole path.
    Path(path::Options),
    /// Release moves.
    Moves(moves::Options),
}

/// The parser of all measurements.
pub fn parser() -> impl Parser<Command> {
    let path = path::parser()
        .to_options()
        .descr("Mixed calls along the whole path, at a deployment's size of today.")
        .command("path")
        .map(Command::Path);
    let moves = moves::parser()
        .to_options()
        .descr("Release moves: good ones done, bad ones taken back.")
        .command("moves")
        .map(Command::Moves);
    let converge = converge::parser()
        .to_options()
        .descr("From an operator's command to in force on every node.")
        .command("converge")
        .map(Command::Converge);
    let members = members::parser()
        .to_options()
        .descr("Membership of a fleet: time to meet, traffic at rest, time to notice faults.")
        .command("members")
        .map(Command::Members);
    let calls = calls::parser()
        .to_options()
        .descr("Time that nodes add to calls, and the promises to callers, with faults.")
        .command("calls")
        .map(Command::Calls);
    let overload = overload::parser()
        .to_options()
        .descr("Goodput and attempts above capacity, beside blind retries.")
        .command("overload")
        .map(Command::Overload);
    construct!([calls, overload, converge, members, path, moves])
}

/// Runs the measurement `command`.
///
/// # Errors
/// Where it could not be carried out; a bad figure is a result.
pub async fn run(command: Command) -> Result<()> {
    let _limit = crate::fleet::guard::limit_run(LIMIT);
    match command {
        Command::Calls(options) => calls::run(options).await,
        Command::Overload(options) => overload::run(options).await,
        Command::Converge(options) => converge::run(options).await,
        Command::Members(options) => members::run(options).await,
        Command::Path(options) => path::run(options).await,
        Command::Moves(options) => moves::run(options).await,
    }
}

/// Prints `result` as the last line of standard output.
pub fn print(result: &impl Serialize) {
    match serde_json::to_string(result) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("the result can't be written as JSON: {error}"),
    }
}
