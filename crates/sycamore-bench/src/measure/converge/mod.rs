//! The `converge` measurement: time from an operator's command until every node uses the new
//! configuration.

mod baseline;
mod bytes;
mod change;
mod fault;
mod observe;
mod report;
mod run;

use crate::Result;
use bpaf::{construct, long, Parser};
use std::str::FromStr;

pub use fault::Fault;

/// Means by which nodes learn of a configuration change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Nodes learn of a change from each other and the platform, as the product has it.
    Product,
    /// Every node polls the whole configuration from the platform.
    Baseline,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "product" => Ok(Policy::Product),
            "baseline" => Ok(Policy::Baseline),
            other => Err(format!("unknown policy {other:?}, expected product or baseline")),
        }
    }
}

/// Options of `measure converge`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes that must learn of each change.
    pub nodes: usize,
    /// Number of configuration changes.
    pub changes: usize,
    /// Means by which nodes learn of a configuration change.
    pub policy: Policy,
    /// Faults that are injected into every change.
    pub faults: Vec<Fault>,
    /// Seconds without a change, before the first one, over which idle traffic is measured.
    pub idle: u64,
}

/// Parses the options of `measure converge`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let nodes = long("nodes").help("Number of nodes").argument("N").fallback(20);
    let changes =
        long("changes").help("Number of configuration changes").argument("K").fallback(10);
    let policy = long("policy")
        .help("How nodes learn of a change: product or baseline")
        .argument("P")
        .fallback(Policy::Product);
    let faults = long("fault")
        .help("Faults, comma-separated: herd, freeze, platform-out, lost-answer, race")
        .argument::<String>("F")
        .fallback(String::new())
        .parse(|list| fault::parse(&list));
    let idle = long("idle")
        .help("Seconds of idle traffic before the first change")
        .argument("S")
        .fallback(10);
    construct!(Options { seed, nodes, changes, policy, faults, idle })
}

/// Runs `measure converge` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let report = match options.policy {
        Policy::Product => run::run(&options).await?,
        Policy::Baseline => baseline::run(&options).await?,
    };
    super::print(&report);
    Ok(())
}
