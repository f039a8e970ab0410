//! The generator.

use super::call::{Call, Caller};
use super::{CallKind, KeyUse, Record, Tally};
use futures::stream::{FuturesUnordered, StreamExt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How a caller chooses among the addresses of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pick {
    /// At random.
    #[default]
    Random,
    /// One after the other.
    RoundRobin,
}

/// Where calls go whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The prefix.
    pub prefix: String,
    /// The addresses.
    pub addrs: Vec<SocketAddr>,
}

/// Options of a load.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of arrivals, kinds, callers and addresses.
    pub seed: u64,
    /// Mean arrivals a second.
    pub rate: f64,
    /// Time during which calls arrive.
    pub time: Duration,
    /// Where calls go: the first target whose prefix fits.
    pub targets: Vec<Target>,
    /// How a caller chooses an address.
    pub pick: Pick,
    /// Times that a caller itself sends a call again, blindly; 0 through nodes.
    pub retries: u32,
    /// Kinds of calls.
    pub kinds: Vec<CallKind>,
    /// Number of callers by name.
    pub callers: u32,
    /// Longest wait of a caller for an answer.
    pub limit: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            rate: 100.0,
            time: Duration::from_secs(5),
            targets: Vec::new(),
            pick: Pick::Random,
            retries: 0,
            kinds: Vec::new(),
            callers: 40,
            limit: Duration::from_secs(15),
        }
    }
}

/// Latest second sending of a call that is sent twice, after the first.
const REPEAT_WITHIN_MS: u64 = 300;

/// Sends calls for the options' time and waits for their answers.
pub async fn run(options: &Options) -> Tally {
    run_until(options, || false).await
}

/// Sends calls for the options' time, or until `done` holds, and waits for their answers.
pub async fn run_until(options: &Options, done: impl Fn() -> bool) -> Tally {
    run_watched(options, done, |_| {}).await
}

/// Like [`run_until`]; `seen` is given each call as it ends.
pub async fn run_watched(
    options: &Options,
    done: impl Fn() -> bool,
    seen: impl Fn(&Record),
) -> Tally {
    let caller = Caller::default();
    let mut draw = Draw::new(options);
    let mut calls = FuturesUnordered::new();
    let mut tally = Tally::default();
    let start = Instant::now();
    let mut next = draw.gap();
    while next < options.time && !done() {
        let due = start + next;
        wait_until(due, &mut calls, &mut tally, &seen).await;
        tally.note_lag(due.elapsed());
        for (delay, call) in draw.calls() {
            let caller = &caller;
            calls.push(async move {
                if !delay.is_zero() {
                    monoio::time::sleep(delay).await;
                }
                caller.send(&call).await
            });
        }
        next += draw.gap();
    }
    while let Some(record) = calls.next().await {
        seen(&record);
        tally.add(record);
    }
    tally.took(start.elapsed());
    tally
}

/// Takes in answers until `due`.
async fn wait_until<F: std::future::Future<Output = Record>>(
    due: Instant,
    calls: &mut FuturesUnordered<F>,
    tally: &mut Tally,
    seen: &impl Fn(&Record),
) {
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            // One round of the loop, so that answers are read also when the generator lags.
            futures::future::poll_fn(|cx| {
                while let std::task::Poll::Ready(Some(record)) = calls.poll_next_unpin(cx) {
                    seen(&record);
                    tally.add(record);
                }
                std::task::Poll::Ready(())
            })
            .await;
            return;
        }
        if calls.is_empty() {
            monoio::time::sleep(left).await;
        } else if let Ok(Some(record)) = monoio::time::timeout(left, calls.next()).await {
            seen(&record);
            tally.add(record);
        }
    }
}

/// Everything that is drawn.
struct Draw<'a> {
    options: &'a Options,
    rng: SmallRng,
    count: u64,
    weights: u32,
    turn: Cell<usize>,
}

impl<'a> Draw<'a> {
    fn new(options: &'a Options) -> Self {
        let weights = options.kinds.iter().map(|kind| kind.weight).sum();
        let rng = SmallRng::seed_from_u64(options.seed);
        Self { options, rng, count: 0, weights, turn: Cell::new(0) }
    }

    /// Time to the next arrival, exponentially distributed.
    fn gap(&mut self) -> Duration {
        let unit: f64 = 1.0 - self.rng.random::<f64>();
        Duration::from_secs_f64(-unit.ln() / self.options.rate.max(f64::MIN_POSITIVE))
    }

    /// The next call, with its repeat where it has one, each with its delay.
    fn calls(&mut self) -> Vec<(Duration, Call<'a>)> {
        let call = self.call();
        if call.kind.key != KeyUse::Repeated {
            return vec![(Duration::ZERO, call)];
        }
        let delay = Duration::from_millis(self.rng.random_range(0..REPEAT_WITHIN_MS));
        let mut repeat = call.clone();
        repeat.addrs = self.addrs(&call.kind.path);
        vec![(Duration::ZERO, call), (delay, repeat)]
    }

    fn call(&mut self) -> Call<'a> {
        self.count += 1;
        let index = self.kind();
        let kind = &self.options.kinds[index];
        let caller = self.rng.random_range(0..self.options.callers.max(1));
        Call {
            kind,
            index,
            token: format!(
                "{:x}-{:x}-{:08x}",
                self.options.seed,
                self.count,
                self.rng.random::<u32>()
            ),
            caller: format!("caller-{caller}"),
            limit: self.options.limit,
            addrs: self.addrs(&kind.path),
        }
    }

    fn kind(&mut self) -> usize {
        let mut ticket = self.rng.random_range(0..self.weights.max(1));
        for (index, kind) in self.options.kinds.iter().enumerate() {
            match ticket.checked_sub(kind.weight) {
                Some(rest) => ticket = rest,
                None => return index,
            }
        }
        0
    }

    fn addrs(&mut self, path: &str) -> Vec<SocketAddr> {
        let target = self.options.targets.iter().find(|target| path.starts_with(&target.prefix));
        let Some(target) = target.filter(|target| !target.addrs.is_empty()) else {
            return Vec::new();
        };
        let attempts = 1 + self.options.retries;
        (0..attempts).map(|_| target.addrs[self.pick(target.addrs.len())]).collect()
    }

    fn pick(&mut self, len: usize) -> usize {
        match self.options.pick {
            Pick::Random => self.rng.random_range(0..len),
            Pick::RoundRobin => {
                let turn = self.turn.get();
                self.turn.set(turn.wrapping_add(1));
                turn % len
            }
        }
    }
}
