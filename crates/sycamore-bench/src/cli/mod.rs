//! Command line of the development tool.

mod stand_ins;

use crate::{demo, http, measure, soak, stand_in, Result};
use bpaf::{construct, long, OptionParser, Parser};

/// Command of the development tool with its options.
#[derive(Debug, Clone)]
pub enum Command {
    /// Runs a stand-in of the platform.
    Platform(stand_in::platform::Options),
    /// Runs an emulated upstream.
    Upstream(Box<stand_in::upstream::Options>),
    /// Runs the demonstration of a good and a bad move.
    Demo(demo::Options),
    /// Runs one measurement and prints its result as JSON.
    Measure(measure::Command),
    /// Injects random faults into a fleet while the soak's invariants are checked.
    Soak(soak::Options),
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Command> {
    let stand_in = stand_ins::parser()
        .to_options()
        .descr("Runs a stand-in until it is stopped.")
        .command("stand-in");
    let demo = demo_options()
        .to_options()
        .descr("Runs both deployments at their current sizes with a good and a bad move.")
        .command("demo")
        .map(Command::Demo);
    let measure = measure::parser()
        .to_options()
        .descr("Runs a measurement; its last line on standard output is one JSON object.")
        .command("measure")
        .map(Command::Measure);
    let soak = soak::parser()
        .to_options()
        .descr("Injects random faults into a fleet while its invariants are checked.")
        .command("soak")
        .map(Command::Soak);
    construct!([stand_in, demo, measure, soak])
        .to_options()
        .descr("Development tool of sycamoreshift: stand-ins, demonstration and measurements.")
        .footer("Example: sycamoreshift-bench demo")
}

fn demo_options() -> impl Parser<demo::Options> {
    let seed = seed();
    let keep = long("keep").help("Keep the nodes' settings and logs after the run").switch();
    construct!(demo::Options { seed, keep })
}

/// Parses `--seed`, the seed of a command's random choices; 1 by default.
pub fn seed() -> impl Parser<u64> {
    long("seed").help("Seed of all random choices").argument("N").fallback(1)
}

/// Runs `command` to its end.
///
/// # Errors
/// The command could not be carried out, the demonstration ended otherwise than expected, or the
/// soak found violated invariants.
pub fn execute(command: Command) -> Result<()> {
    match command {
        Command::Platform(options) => http::run(stand_in::platform::run(options)),
        Command::Upstream(options) => http::run(stand_in::upstream::run(*options)),
        Command::Demo(options) => http::run(demo::run(options)),
        Command::Measure(command) => http::run(measure::run(command)),
        Command::Soak(options) => http::run(soak::run(options)),
    }
}
