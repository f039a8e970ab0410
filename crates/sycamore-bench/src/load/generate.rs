//! Load generator: draws calls from a seed and sends them at their arrival times.

use super::call::{Call, Caller};
use super::{CallKind, KeyUse, Record, Tally};
use futures::stream::{FuturesUnordered, StreamExt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Selection of an address among those of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pick {
    /// Selects an address uniformly at random.
    #[default]
    Random,
    /// Selects the addresses in turn, over all calls.
    RoundRobin,
}

/// Addresses for calls whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Prefix of the calls' paths.
    pub prefix: String,
    /// Addresses to choose from.
    pub addrs: Vec<SocketAddr>,
}

/// Options of a load.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of arrival times, kinds, callers and addresses.
    pub seed: u64,
    /// Mean rate of arrivals, in calls per second.
    pub rate: f64,
    /// Period within which calls arrive.
    pub time: Duration,
    /// Targets of calls: the first whose prefix matches a call's path is used.
    pub targets: Vec<Target>,
    /// Selection of an address among those of the target.
    pub pick: Pick,
    /// Number of times that the caller itself retries a failed call, whatever its kind and failure; 0
    /// for calls through nodes.
    pub retries: u32,
    /// Kinds of calls, drawn by their weights.
    pub kinds: Vec<CallKind>,
    /// Number of different caller names.
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

/// Longest delay between the two sendings of a call with [`KeyUse::Repeated`], in milliseconds.
const MAX_REPEAT_DELAY_MS: u64 = 300;

/// Sends calls for [`Options::time`] and waits for their answers.
pub async fn run(options: &Options) -> Tally {
    run_until(options, || false).await
}

/// Sends calls for [`Options::time`] or until `done` returns true, and waits for their answers.
pub async fn run_until(options: &Options, done: impl Fn() -> bool) -> Tally {
    run_watched(options, done, |_| {}).await
}

/// Sends calls like [`run_until`], and passes the record of each call to `seen` when the call ends.
pub async fn run_watched(
    options: &Options,
    done: impl Fn() -> bool,
    seen: impl Fn(&Record),
) -> Tally {
    let caller = Caller::default();
    let mut source = CallSource::new(options);
    let mut calls = FuturesUnordered::new();
    let mut tally = Tally::default();
    let start = Instant::now();
    let mut next = source.gap();
    while next < options.time && !done() {
        let due = start + next;
        drive_until(due, &mut calls, &mut tally, &seen).await;
        tally.note_lag(due.elapsed());
        for (delay, call) in source.calls() {
            let caller = &caller;
            calls.push(async move {
                if !delay.is_zero() {
                    monoio::time::sleep(delay).await;
                }
                caller.send(&call).await
            });
        }
        next += source.gap();
    }
    while let Some(record) = calls.next().await {
        seen(&record);
        tally.add(record);
    }
    tally.took(start.elapsed());
    tally
}

/// Drives `calls` and records those that end until `due`.
async fn drive_until<F: std::future::Future<Output = Record>>(
    due: Instant,
    calls: &mut FuturesUnordered<F>,
    tally: &mut Tally,
    seen: &impl Fn(&Record),
) {
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            // Polls the calls once, so that answers are read also while the generator is late.
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

/// Source of random calls.
struct CallSource<'a> {
    options: &'a Options,
    rng: SmallRng,
    /// Number of calls drawn so far.
    count: u64,
    /// Sum of the weights of all kinds.
    total_weight: u32,
    /// Number of addresses selected so far with [`Pick::RoundRobin`].
    turn: Cell<usize>,
}

impl<'a> CallSource<'a> {
    fn new(options: &'a Options) -> Self {
        let total_weight = options.kinds.iter().map(|kind| kind.weight).sum();
        let rng = SmallRng::seed_from_u64(options.seed);
        Self { options, rng, count: 0, total_weight, turn: Cell::new(0) }
    }

    /// Draws the time to the next arrival from an exponential distribution.
    fn gap(&mut self) -> Duration {
        let unit: f64 = 1.0 - self.rng.random::<f64>();
        Duration::from_secs_f64(-unit.ln() / self.options.rate.max(f64::MIN_POSITIVE))
    }

    /// Draws the next call and, for [`KeyUse::Repeated`], its second sending, each with its delay.
    fn calls(&mut self) -> Vec<(Duration, Call<'a>)> {
        let call = self.call();
        if call.kind.key != KeyUse::Repeated {
            return vec![(Duration::ZERO, call)];
        }
        let delay = Duration::from_millis(self.rng.random_range(0..MAX_REPEAT_DELAY_MS));
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

    /// Draws the index of a kind according to the weights.
    fn kind(&mut self) -> usize {
        let mut ticket = self.rng.random_range(0..self.total_weight.max(1));
        for (index, kind) in self.options.kinds.iter().enumerate() {
            match ticket.checked_sub(kind.weight) {
                Some(rest) => ticket = rest,
                None => return index,
            }
        }
        0
    }

    /// Draws the addresses of all attempts of a call to `path`; empty if no target matches.
    fn addrs(&mut self, path: &str) -> Vec<SocketAddr> {
        let target = self.options.targets.iter().find(|target| path.starts_with(&target.prefix));
        let Some(target) = target.filter(|target| !target.addrs.is_empty()) else {
            return Vec::new();
        };
        let attempts = 1 + self.options.retries;
        (0..attempts).map(|_| target.addrs[self.pick(target.addrs.len())]).collect()
    }

    /// Selects an index below `len`.
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
