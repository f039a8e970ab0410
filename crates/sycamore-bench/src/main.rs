//! `sycamoreshift-bench`, the development tool: runs the command that is given on the command line.

use std::process::ExitCode;
use sycamore_bench::cli;

fn main() -> ExitCode {
    match cli::execute(cli::options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}
