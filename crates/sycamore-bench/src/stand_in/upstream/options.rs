//! Command-line options of the emulated upstream.

use super::Badness;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// Behaviour of the health and load endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Probe {
    /// The endpoints report the current state.
    Honest,
    /// The endpoints report the state of three seconds ago.
    #[default]
    Lagging,
    /// The endpoints always report a healthy and idle upstream.
    Misleading,
}

impl std::fmt::Display for Probe {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Probe {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "honest" => Ok(Probe::Honest),
            "lagging" => Ok(Probe::Lagging),
            "misleading" => Ok(Probe::Misleading),
            _ => Err(format!("unknown probe {text:?}, expected honest, lagging or misleading")),
        }
    }
}

impl Probe {
    /// Returns the behaviour's name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Probe::Honest => "honest",
            Probe::Lagging => "lagging",
            Probe::Misleading => "misleading",
        }
    }
}

/// Options of the emulated upstream.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address at which the upstream listens.
    pub listen: SocketAddr,
    /// Address that the upstream announces to its node; `None` announces [`Options::listen`].
    pub announced: Option<SocketAddr>,
    /// Address of the node's listener for its upstream; without a node the upstream announces nothing
    /// and makes no nested calls.
    pub node: Option<SocketAddr>,
    /// Address of the witness to which the upstream reports its runs; `None` reports nothing.
    pub witness: Option<SocketAddr>,
    /// Name of the upstream's instance, for reports and answers.
    pub instance: String,
    /// Service of the upstream, for reports.
    pub service: String,
    /// Version of the upstream, which it announces and reports.
    pub version: String,
    /// Largest number of requests that run at the same time.
    pub slots: u16,
    /// Largest number of requests that wait for a slot; more are shed.
    pub queue: u16,
    /// Largest number of open connections; further ones are closed at once.
    pub connections: u16,
    /// Time that it takes to open a connection.
    pub open: Duration,
    /// Mean run time of a request; each request's is drawn from 0.5 to 1.5 times this.
    pub work: Duration,
    /// Duration of the cold start, during which requests take up to four times as long.
    pub cold: Duration,
    /// Behaviour of the health and load endpoints.
    pub probe: Probe,
    /// Defect that the upstream emulates.
    pub bad: Badness,
    /// Time since the start after which [`Badness::FailsLater`] takes effect.
    pub bad_onset: Duration,
    /// Text in the paths of requests that [`Badness::OneBadRoute`] affects.
    pub bad_route: String,
    /// Longest time from SIGTERM to the exit, for requests in flight.
    pub grace: Duration,
    /// Seed of all random decisions.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
            announced: None,
            node: None,
            witness: None,
            instance: "counter-1".into(),
            service: "counter".into(),
            version: "1.0.0".into(),
            slots: 12,
            queue: 12,
            connections: 120,
            open: Duration::from_millis(1),
            work: Duration::from_millis(10),
            cold: Duration::ZERO,
            probe: Probe::default(),
            bad: Badness::None,
            bad_onset: Duration::from_secs(6),
            bad_route: "/status".into(),
            grace: Duration::from_secs(20),
            seed: 1,
        }
    }
}

impl Options {
    /// Returns the command-line arguments that start the development tool with these options.
    pub fn to_args(&self) -> Vec<String> {
        let mut args: Vec<String> = vec!["stand-in".into(), "upstream".into()];
        let mut add = |name: &str, value: String| args.extend([format!("--{name}"), value]);
        add("listen", self.listen.to_string());
        if let Some(announced) = self.announced {
            add("announced", announced.to_string());
        }
        if let Some(node) = self.node {
            add("node", node.to_string());
        }
        if let Some(witness) = self.witness {
            add("witness", witness.to_string());
        }
        add("instance", self.instance.clone());
        add("service", self.service.clone());
        add("version-of-upstream", self.version.clone());
        add("slots", self.slots.to_string());
        add("queue", self.queue.to_string());
        add("connections", self.connections.to_string());
        add("open-ms", self.open.as_millis().to_string());
        add("work-us", self.work.as_micros().to_string());
        add("cold-ms", self.cold.as_millis().to_string());
        add("probe", self.probe.as_str().into());
        add("bad", self.bad.to_string());
        add("bad-onset-ms", self.bad_onset.as_millis().to_string());
        add("bad-route", self.bad_route.clone());
        add("grace-ms", self.grace.as_millis().to_string());
        add("seed", self.seed.to_string());
        args
    }
}
