//! Convergence of configurations: from an operator's command to in force on every node.

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

/// How nodes learn of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's.
    Product,
    /// Every node polls the whole configuration.
    Baseline,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "product" => Ok(Policy::Product),
            "baseline" => Ok(Policy::Baseline),
            other => Err(format!("{other:?} is neither product nor baseline")),
        }
    }
}

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Changes of the configuration.
    pub changes: usize,
    /// How nodes learn of a change.
    pub policy: Policy,
    /// Faults during the changes.
    pub faults: Vec<Fault>,
    /// Seconds without a change before the first one.
    pub idle: u64,
}

/// The parser of its options.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let nodes = long("nodes").help("Nodes").argument("N").fallback(20);
    let changes = long("changes").help("Changes of the configuration").argument("K").fallback(10);
    let policy = long("policy")
        .help("How nodes learn of a change: product or baseline")
        .argument("P")
        .fallback(Policy::Product);
    let faults = long("fault")
        .help("Comma list of faults: herd, freeze, platform-out, lost-answer, race")
        .argument::<String>("F")
        .fallback(String::new())
        .parse(|list| fault::parse(&list));
    let idle = long("idle").help("Seconds without a change, first").argument("S").fallback(10);
    construct!(Options { seed, nodes, changes, policy, faults, idle })
}

/// Runs it.
pub(super) async fn run(options: Options) -> Result<()> {
    let report = match options.policy {
        Policy::Product => run::run(&options).await?,
        Policy::Baseline => baseline::run(&options).await?,
    };
    super::print(&report);
    Ok(())
}
