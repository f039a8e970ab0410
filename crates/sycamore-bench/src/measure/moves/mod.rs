//! The `moves` measurement: shares of good moves done and of bad moves taken back, and the requests
//! that bad versions get.
//!
//! Runs thousands of moves on the product's state machines and simulated time, without processes.

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

/// Policy that raises the new version's share and decides on a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The product's state machines raise the share and decide by the evidence.
    Product,
    /// The share rises in fixed steps, and the error rate is compared with a threshold; see
    /// [`baseline::Baseline`].
    Baseline,
}

/// Faults that are injected into every move.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The platform is unavailable from the start of the trial until 10 seconds after the deadline.
    pub platform_out: bool,
    /// A node of the service is killed every 8 seconds after the move's start.
    pub kill: bool,
    /// Two operators abort some of the moves at the same moment, and the platform loses answers.
    pub race: bool,
    /// The platform loses answers after the writes took effect.
    pub lost_answer: bool,
}

/// Options of `measure moves`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of moves to good versions.
    pub good: usize,
    /// Number of moves to bad versions.
    pub bad: usize,
    /// Policy that decides on the moves.
    pub policy: Policy,
    /// Faults that are injected into every move.
    pub faults: Faults,
}

/// Parses the options of `measure moves`.
pub(super) fn parser() -> impl Parser<Options> {
    let seed = crate::cli::seed();
    let good = long("good").help("Number of moves to good versions").argument("G").fallback(60);
    let bad = long("bad").help("Number of moves to bad versions").argument("B").fallback(70);
    let policy = long("policy")
        .help("Policy that decides on the moves: product or baseline")
        .argument::<String>("P")
        .parse(|text| parse_policy(&text))
        .fallback(Policy::Product);
    let faults = long("fault")
        .help("Faults, comma-separated: platform-out, kill, race, lost-answer")
        .argument::<String>("F")
        .parse(|text| parse_faults(&text))
        .fallback(Faults::default());
    construct!(Options { seed, good, bad, policy, faults })
}

fn parse_policy(text: &str) -> std::result::Result<Policy, String> {
    match text {
        "product" => Ok(Policy::Product),
        "baseline" => Ok(Policy::Baseline),
        other => Err(format!("unknown policy {other:?}, expected product or baseline")),
    }
}

fn parse_faults(text: &str) -> std::result::Result<Faults, String> {
    let mut faults = Faults::default();
    for name in text.split(',') {
        match name {
            "platform-out" => faults.platform_out = true,
            "kill" => faults.kill = true,
            "race" => faults.race = true,
            "lost-answer" => faults.lost_answer = true,
            other => {
                let expected = "platform-out, kill, race or lost-answer";
                return Err(format!("unknown fault {other:?}, expected {expected}"));
            }
        }
    }
    Ok(faults)
}

/// Runs `measure moves` and prints its result.
pub(super) async fn run(options: Options) -> Result<()> {
    let started = Instant::now();
    let mut summary = Summary::default();
    let kinds = (0..options.good).map(|i| GOOD[i % GOOD.len()]);
    let kinds = kinds.chain((0..options.bad).map(|i| BAD[i % BAD.len()]));
    for (index, kind) in kinds.enumerate() {
        let trial = run_trial(&options, kind, index as u64);
        if let Some(reason) = trial.false_taken_back_reason() {
            eprintln!("move {index} ({kind:?}) to a good version was taken back: {reason}");
        }
        summary.add(&trial);
    }
    eprintln!("{summary}");
    print(&summary.result(options.seed, started.elapsed().as_secs_f64()));
    Ok(())
}

fn run_trial(options: &Options, kind: Kind, index: u64) -> trial::Trial {
    let mut rng = SmallRng::seed_from_u64(options.seed.wrapping_mul(1_000_003) + index);
    let scenario = Scenario::draw(kind, &mut rng);
    trial::run(&scenario, options.policy, &options.faults, rng.random())
}
