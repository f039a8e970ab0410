//! Command line of the node daemon `sycamoreshiftd`.

use bpaf::{construct, long, OptionParser, Parser};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use sycamore_node::edge::Edges;
use sycamore_node::hub::Clock;
use sycamore_node::run;

/// Exit code for invalid settings.
const EXIT_BAD_INPUT: u8 = 2;

/// Command-line options.
struct Options {
    settings: PathBuf,
    clock_ahead: Duration,
}

fn options() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help("INI file with the node's settings; see sycamoreshiftd.sample.ini")
        .argument::<PathBuf>("FILE");
    let clock_ahead = long("clock-ahead")
        .help("Milliseconds by which the wall clock runs ahead, for tests with clocks that differ")
        .argument::<u64>("MS")
        .fallback(0)
        .map(Duration::from_millis);
    construct!(Options { settings, clock_ahead })
        .to_options()
        .descr("The sycamoreshift node: admits calls to one local upstream and relays other calls.")
        .footer("Example: sycamoreshiftd --settings counter-1.ini")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match sycamore_settings::from_file(&options.settings) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{}", report.current_context());
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    let clock = Clock::ahead_by(options.clock_ahead);
    let run_options = run::RunOptions { settings, path: Some(options.settings), clock };
    match run::run(run_options, Edges::default()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
