//! Command line program `sycamoreshift` for operators: checks files, sends commands to nodes and
//! prints the results of queries.

mod args;
mod client;
mod commands;
mod error;
mod output;
mod queries;

use args::{Command, Options};
use client::Client;
use error::CliError;
use error_stack::{Report, ResultExt};
use monoio::{LegacyDriver, RuntimeBuilder};
use output::Output;
use std::process::ExitCode;

/// Width that help texts are wrapped to, in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let options = match args::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return print_usage(&failure),
    };
    let output = Output::new(options.output);
    match run(options, &output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let error = report.current_context();
            output.print_error(error);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints the help that was asked for, or what is wrong with the arguments; returns the exit code.
fn print_usage(failure: &bpaf::ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        bpaf::ParseFailure::Stderr(_) => ExitCode::from(CliError::bad_input("usage").exit_code()),
        _ => ExitCode::SUCCESS,
    }
}

/// Runs the command that `options` name on an event loop of its own.
fn run(options: Options, output: &Output) -> Result<(), Report<CliError>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(CliError::Failed("the event loop could not be started".to_owned()))?;
    runtime.block_on(dispatch(options, output))
}

async fn dispatch(options: Options, output: &Output) -> Result<(), Report<CliError>> {
    let client = Client::new(&options)?;
    match options.command {
        Command::Check(check) => commands::check::run(&check, output),
        Command::Config(args::Config::Apply(apply)) => {
            commands::config::run(&client, &apply, output).await
        }
        Command::Config(args::Config::Show) => queries::show_config(&client, output).await,
        Command::Sheet(args::Sheet::Import(import)) => {
            commands::sheet::run(&client, &import, output).await
        }
        Command::Abort(abort) => commands::abort::run(&client, &abort, output).await,
        Command::Plan => queries::list_plans(&client, output).await,
        Command::Moves { plan } => queries::list_moves(&client, plan.as_ref(), output).await,
        Command::Report { plan } => queries::show_report(&client, plan.as_ref(), output).await,
        Command::Nodes => queries::list_nodes(&client, output).await,
        Command::Trace(trace) => queries::trace::run(&trace, output),
        Command::Timeline(timeline) => queries::timeline::run(&client, &timeline, output).await,
    }
}
