//! Server of the emulated upstream: runs requests, reports them to the witness, and drains on SIGTERM.

use super::announce;
use super::badness::{RequestContext, RequestResult};
use super::onward::{self, NestedCall};
use super::probes::{Load, Probes};
use super::report::{self, Reported};
use super::{checksum, fill, headers, Options, Slots};
use crate::http::{self as bench_http, text, Answer, Break, Client, Listener, Reply, ServeOptions};
use crate::witness::{Reporter, UpstreamEventKind};
use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::ResultExt;
use futures::future::select;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_types::headers as shift;

/// Time between two checks of the signal flag; also the sampling interval of the health and load
/// endpoints.
const TICK: Duration = Duration::from_millis(50);

/// Time without a request in flight after which a draining upstream exits.
const IDLE_BEFORE_EXIT: Duration = Duration::from_secs(1);

/// Factor by which requests take longer right after a cold start; it decreases linearly to 1.
const COLD_FACTOR: f64 = 4.0;

/// Run time below which a request spins instead of sleeping, because timers have a resolution of a
/// millisecond.
const SPIN_BELOW: Duration = Duration::from_millis(1);

/// Time for which a request runs before it crashes the upstream.
const CRASH_AFTER: Duration = Duration::from_millis(5);

/// Exit status after a crash.
const CRASH_STATUS: i32 = 70;

struct Upstream {
    options: Options,
    start: Instant,
    slots: Slots,
    rng: RefCell<SmallRng>,
    reporter: Reporter,
    probes: RefCell<Probes>,
    reported: Reported,
    client: Client,
    /// Number of requests in flight, waiting ones included.
    requests: Cell<usize>,
    draining: Cell<bool>,
}

/// Serves requests until SIGTERM, and then until no request has been in flight for a second or
/// [`Options::grace`] has passed.
///
/// # Errors
/// [`BenchError::Io`] if the address can't be bound or the witness can't be reached.
pub async fn run(options: Options) -> Result<()> {
    let term = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, term.clone())
        .change_context_lazy(|| BenchError::Io("register a handler of SIGTERM".into()))?;
    let listener = Listener::bind(options.listen)?;
    let upstream = Rc::new(Upstream::new(options)?);
    let limits = ServeOptions {
        connections: usize::from(upstream.options.connections),
        open: upstream.options.open,
    };
    let serve = bench_http::serve(&listener, &limits, {
        let upstream = upstream.clone();
        move |req| {
            let upstream = upstream.clone();
            async move { upstream.answer(req).await }
        }
    });
    let lifecycle = upstream.announce_and_drain(&term);
    select(pin!(serve), pin!(lifecycle)).await;
    Ok(())
}

impl Upstream {
    fn new(options: Options) -> Result<Self> {
        let reporter = Reporter::connect(
            options.witness,
            &options.instance,
            &options.service,
            &options.version,
        )?;
        Ok(Self {
            start: Instant::now(),
            slots: Slots::new(usize::from(options.slots), usize::from(options.queue)),
            rng: RefCell::new(SmallRng::seed_from_u64(options.seed)),
            reporter,
            probes: RefCell::default(),
            reported: Reported::default(),
            client: Client::default(),
            requests: Cell::new(0),
            draining: Cell::new(false),
            options,
        })
    }

    /// Announces the upstream until SIGTERM, then drains it; returns when the process may exit.
    async fn announce_and_drain(&self, term: &AtomicBool) {
        let first = || self.reporter.report(UpstreamEventKind::Up, "", "");
        let announcing = async {
            match self.options.node {
                Some(node) => announce::announce(&self.options, node, first).await,
                None => std::future::pending().await,
            }
        };
        select(pin!(announcing), pin!(self.wait_for_term(term))).await;
        self.draining.set(true);
        if let Some(node) = self.options.node {
            announce::drain(&self.options, node).await;
        }
        self.reporter.report(UpstreamEventKind::Drain, "", "");
        self.wait_until_idle().await;
    }

    async fn wait_for_term(&self, term: &AtomicBool) {
        while !term.load(Ordering::Relaxed) {
            self.tick().await;
        }
    }

    async fn wait_until_idle(&self) {
        let end = Instant::now() + self.options.grace;
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < IDLE_BEFORE_EXIT && Instant::now() < end {
            self.tick().await;
            if self.requests.get() > 0 {
                idle_since = Instant::now();
            }
        }
    }

    /// Samples the state for the endpoints and sleeps for [`TICK`].
    async fn tick(&self) {
        let now = self.start.elapsed();
        self.probes.borrow_mut().sample(now, self.load(), !self.draining.get());
        monoio::time::sleep(TICK).await;
    }

    fn load(&self) -> Load {
        Load { busy: self.slots.taken(), queued: self.slots.queued() }
    }

    /// Answers a request of any kind, probes included.
    async fn answer(&self, req: Request<Incoming>) -> Reply {
        match req.uri().path() {
            "/health" => {
                let probe = self.options.probe;
                Ok(self.probes.borrow().health(probe, !self.draining.get()))
            }
            "/load" => Ok(self.probes.borrow().load(self.options.probe, self.load())),
            report::PATH => self.answer_report(req).await,
            report::DEPART_PATH => Ok(self.answer_depart().await),
            _ => {
                self.reported.count_arrival();
                let _in_flight = InFlight::new(&self.requests);
                let mut answer = self.admit(req).await?;
                self.reported.write(&mut answer);
                Ok(answer)
            }
        }
    }

    /// Sets what the upstream reports in its answers, if the request has a body; answers with the
    /// upstream's count.
    async fn answer_report(&self, req: Request<Incoming>) -> Reply {
        let body = req.into_body().collect().await.map_err(|_| Break)?.to_bytes();
        if !body.is_empty() {
            match serde_json::from_slice(&body) {
                Ok(report) => self.reported.set(report),
                Err(err) => return Ok(text(StatusCode::BAD_REQUEST, err.to_string())),
            }
        }
        let count = serde_json::to_string(&self.reported.count()).unwrap_or_default();
        Ok(text(StatusCode::OK, count))
    }

    /// Leaves the node, and answers whether the node acknowledged it.
    async fn answer_depart(&self) -> Answer {
        let acknowledged = match self.options.node {
            Some(node) => announce::drain(&self.options, node).await,
            None => false,
        };
        if !acknowledged {
            return text(StatusCode::BAD_GATEWAY, "the node did not acknowledge the leave");
        }
        self.reporter.report(UpstreamEventKind::Drain, "", "");
        text(StatusCode::OK, "")
    }

    /// Waits for a slot and runs the request in it; sheds the request if the queue is full or its
    /// deadline passes.
    async fn admit(&self, req: Request<Incoming>) -> Reply {
        let arrived = Instant::now();
        let (head, body) = req.into_parts();
        let body = body.collect().await.map_err(|_| Break)?.to_bytes();
        let deadline = header(&head.headers, shift::TIMEOUT_MS)
            .and_then(|ms| ms.parse().ok())
            .map(|ms| arrived + Duration::from_millis(ms));
        let slot = match within(deadline, self.slots.take()).await {
            None => return Ok(shed("deadline")),
            Some(Err(_)) => {
                let token = header(&head.headers, headers::TOKEN).unwrap_or_default();
                self.reporter.report(UpstreamEventKind::Shed, token, head.uri.path());
                return Ok(shed("overloaded"));
            }
            Some(Ok(slot)) => slot,
        };
        let reply = self.run(&head, &body, deadline).await;
        drop(slot);
        reply
    }

    /// Runs a request that has taken a slot, and reports the run to the witness.
    async fn run(
        &self,
        head: &http::request::Parts,
        body: &Bytes,
        deadline: Option<Instant>,
    ) -> Reply {
        let token = header(&head.headers, headers::TOKEN).unwrap_or_default();
        let path = head.uri.path();
        self.reporter.report(UpstreamEventKind::Start, token, path);
        let run = Running { reporter: &self.reporter, token, path, ended: Cell::new(false) };
        let (result, work) = self.draw_run(head);
        if result == RequestResult::Crash || head.headers.contains_key(headers::CRASH) {
            monoio::time::sleep(CRASH_AFTER).await;
            std::process::exit(CRASH_STATUS);
        }
        let left = deadline.map(|end| end.saturating_duration_since(Instant::now()));
        let work = async {
            work_for(work).await;
            onward::call(&self.client, self.options.node, &head.headers, token, left).await
        };
        let answer = match within(deadline, work).await {
            None => timed_out(),
            Some(NestedCall::Failed(status)) => text(status, "a nested call failed\n"),
            Some(NestedCall::NoAnswer) => {
                text(StatusCode::BAD_GATEWAY, "no answer to a nested call\n")
            }
            Some(NestedCall::Ok) if result == RequestResult::Failed => {
                text(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
            }
            Some(NestedCall::Ok) => self.success(&head.headers, token),
        };
        run.ended.set(true);
        self.reporter.report(UpstreamEventKind::End, token, path);
        Ok(self.add_headers(answer, token, body))
    }

    /// Draws the request's result and run time.
    fn draw_run(&self, head: &http::request::Parts) -> (RequestResult, Duration) {
        let mut rng = self.rng.borrow_mut();
        let options = &self.options;
        let at = RequestContext {
            age: self.start.elapsed(),
            onset: options.bad_onset,
            busy: self.slots.taken() as f64 / f64::from(options.slots.max(1)),
            path: head.uri.path(),
            bad_route: &options.bad_route,
            caller: header(&head.headers, shift::CALLER).unwrap_or_default(),
        };
        let requested = header(&head.headers, headers::WORK_US).and_then(|us| us.parse().ok());
        let mean = requested.map_or(options.work, Duration::from_micros);
        let factor = rng.random_range(0.5..1.5) * options.bad.slowdown(&at) * self.cold_factor();
        (options.bad.draw_result(&at, &mut rng), mean.mul_f64(factor))
    }

    /// Returns the factor by which requests take longer because of the cold start, 1 afterwards.
    fn cold_factor(&self) -> f64 {
        let cold = self.options.cold.as_secs_f64();
        let left = cold - self.start.elapsed().as_secs_f64();
        if left <= 0.0 {
            return 1.0;
        }
        1.0 + (COLD_FACTOR - 1.0) * left / cold
    }

    fn success(&self, incoming: &HeaderMap, token: &str) -> Answer {
        let len = header(incoming, headers::ANSWER_BYTES).and_then(|len| len.parse().ok());
        let body = match len {
            Some(len) => fill(token, len),
            None => Bytes::from(format!("{{\"token\":\"{token}\"}}\n")),
        };
        let sum = checksum(&body);
        let mut answer = text(StatusCode::OK, body);
        set(&mut answer, headers::SENT_SUM, &sum);
        answer
    }

    /// Adds the headers by which callers identify the run and check the request's body.
    fn add_headers(&self, mut answer: Answer, token: &str, received: &Bytes) -> Answer {
        set(&mut answer, headers::TOKEN, token);
        set(&mut answer, headers::INSTANCE, &self.options.instance);
        set(&mut answer, headers::VERSION, &self.options.version);
        set(&mut answer, headers::RECEIVED_SUM, &checksum(received));
        answer
    }
}

/// Guard that counts a request as in flight until dropped.
struct InFlight<'a>(&'a Cell<usize>);

impl<'a> InFlight<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Guard that reports a cancellation if a run is dropped before its end.
struct Running<'a> {
    reporter: &'a Reporter,
    token: &'a str,
    path: &'a str,
    ended: Cell<bool>,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.reporter.report(UpstreamEventKind::Cancel, self.token, self.path);
        }
    }
}

/// Sleeps for `time`, or spins if it is below [`SPIN_BELOW`].
async fn work_for(time: Duration) {
    if time >= SPIN_BELOW {
        return monoio::time::sleep(time).await;
    }
    let start = Instant::now();
    while start.elapsed() < time {
        std::hint::spin_loop();
    }
}

/// Returns the output of `work`, or `None` if `deadline` passes first.
async fn within<F: std::future::Future>(deadline: Option<Instant>, work: F) -> Option<F::Output> {
    match deadline {
        None => Some(work.await),
        Some(end) => {
            let left = end.saturating_duration_since(Instant::now());
            monoio::time::timeout(left, work).await.ok()
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn set(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}

fn shed(reason: &str) -> Answer {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    set(&mut answer, shift::OUTCOME, "not-run");
    set(&mut answer, shift::REASON, reason);
    set(&mut answer, "retry-after", "1");
    answer
}

fn timed_out() -> Answer {
    let mut answer = text(StatusCode::GATEWAY_TIMEOUT, "out of time\n");
    set(&mut answer, shift::OUTCOME, "unknown");
    answer
}
