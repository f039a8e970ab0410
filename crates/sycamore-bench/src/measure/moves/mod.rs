//! Release moves: good ones done, bad ones taken back, and at what cost.
//!
//! Without `--real`, thousands of moves run over the product's state machines on faked time.

mod baseline;
mod bus;
mod node;
mod scenario;
mod setup;
mod summary;
mod table;
mod trial;
mod upstream;
mod witness;

use super::print;
use crate::Result;
use bpaf::{construct, long, Parser};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scenario::{Kind, Scenario, BAD, GOOD};
use std::time::Instant;
use summary::Summary;

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product.
    Product,
    /// Fixed steps with a threshold on the error rate.
    Baseline,
}

/// Faults that are put in.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The platform is out from the start until after the deadline.
    pub platform_out: bool,
    /// A node of the service is killed every few seconds.
    pub kill: bool,
    /// Two operators abort some of the moves at the same moment; answers get lost.
    pub race: bool,
    /// Answers of the platform get lost.
    pub lost_answer: bool,
}

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Moves with good versions.
    pub good: usize,
    /// Moves with bad versions.
    pub bad: usize,
    /// Who decides: `product` or `baseline`.
    pub policy: Policy,
    /// Faults that are put in.
    pub faults: Faults,
}

/// The parser of its options.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let good = long("good").help("Moves with good versions").argument("G").fallback(60);
    let bad = long("bad").help("Moves with bad versions").argument("B").fallback(70);
    let policy = long("policy")
        .help("product or baseline")
        .argument::<String>("P")
        .parse(|text| policy(&text))
        .fallback(Policy::Product);
    let faults = long("fault")
        .help("Comma list of platform-out, kill, race, lost-answer")
        .argument::<String>("F")
        .parse(|text| faults(&text))
        .fallback(Faults::default());
    construct!(Options { seed, good, bad, policy, faults })
}

fn policy(text: &str) -> std::result::Result<Policy, String> {
    match text {
        "product" => Ok(Policy::Product),
        "baseline" => Ok(Policy::Baseline),
        other => Err(format!("there is no policy {other:?}")),
    }
}

fn faults(text: &str) -> std::result::Result<Faults, String> {
    let mut faults = Faults::default();
    for name in text.split(',') {
        match name {
            "platform-out" => faults.platform_out = true,
            "kill" => faults.kill = true,
            "race" => faults.race = true,
            "lost-answer" => faults.lost_answer = true,
            other => return Err(format!("fault {other:?} does not apply to moves")),
        }
    }
    Ok(faults)
}

/// Runs it.
pub(super) async fn run(options: Options) -> Result<()> {
    let started = Instant::now();
    let mut summary = Summary::default();
    let kinds = (0..options.good).map(|i| GOOD[i % GOOD.len()]);
    let kinds = kinds.chain((0..options.bad).map(|i| BAD[i % BAD.len()]));
    for (index, kind) in kinds.enumerate() {
        let trial = one(&options, kind, index as u64);
        if let Some(reason) = trial.false_reason() {
            eprintln!("move {index} ({kind:?}) was taken back falsely: {reason}");
        }
        summary.add(&trial);
    }
    eprintln!("{summary}");
    print(&summary.result(options.seed, started.elapsed().as_secs_f64()));
    Ok(())
}

fn one(options: &Options, kind: Kind, index: u64) -> trial::Trial {
    let mut rng = SmallRng::seed_from_u64(options.seed.wrapping_mul(1_000_003) + index);
    let scenario = Scenario::draw(kind, &mut rng);
    trial::run(&scenario, options.policy, &options.faults, rng.random())
}
