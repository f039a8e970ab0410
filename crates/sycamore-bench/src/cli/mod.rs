//! The command line of the development tool.

mod stand_ins;

use crate::{demo, http, measure, soak, stand_in, Result};
use bpaf::{construct, long, OptionParser, Parser};

/// What the development tool does.
#[derive(Debug, Clone)]
pub enum Command {
    /// Runs the platform's stand-in.
    Platform(stand_in::platform::Options),
    /// Runs an emulated upstream.
    Upstream(Box<stand_in::upstream::Options>),
    /// Runs the demonstration.
    Demo(demo::Options),
    /// Runs a measurement.
    Measure(measure::Command),
    /// Runs the fault soak.
    Soak(soak::Options),
}

/// The command line's parser.
pub fn options() -> OptionParser<Command> {
    let stand_in = stand_ins::parser()
        .to_options()
        .descr("Runs a stand-in until it is stopped.")
        .command("stand-in");
    let demo = demo_options()
        .to_options()
        .descr("Both deployments at today's sizes: a good and a bad move, and their report.")
        .command("demo")
        .map(Command::Demo);
    let measure = measure::parser()
        .to_options()
        .descr("Runs a measurement; its last line on standard output is one JSON object.")
        .command("measure")
        .map(Command::Measure);
    let soak = soak::parser()
        .to_options()
        .descr("Faults from outside, drawn from a seed, while promises are checked.")
        .command("soak")
        .map(Command::Soak);
    construct!([stand_in, demo, measure, soak])
        .to_options()
        .descr("Development tool of sycamoreshift: stand-ins, demonstration and measurements.")
        .footer("Example: sycamoreshift-bench demo")
}

fn demo_options() -> impl Parser<demo::Options> {
    let seed = seed();
    let keep = long("keep").help("Keep the settings and logs of the run").switch();
    construct!(demo::Options { seed, keep })
}

/// The seed of a run.
pub fn seed() -> impl Parser<u64> {
    long("seed").help("Seed of everything that is drawn").argument("N").fallback(1)
}

/// Carries out `command`.
///
/// # Errors
/// Where it could not be carried out, or the demonstration did not end as it must.
pub fn execute(command: Command) -> Result<()> {
    match command {
        Command::Platform(options) => http::run(stand_in::platform::run(options)),
        Command::Upstream(options) => http::run(stand_in::upstream::run(*options)),
        Command::Demo(options) => http::run(demo::run(options)),
        Command::Measure(command) => http::run(measure::run(command)),
        Command::Soak(options) => http::run(soak::run(options)),
    }
}
