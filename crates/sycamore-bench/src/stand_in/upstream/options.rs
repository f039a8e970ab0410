//! Options of the emulated upstream.

use super::Badness;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// What the health and load endpoints tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Probe {
    /// The truth.
    Honest,
    /// What was true three seconds ago.
    #[default]
    Lagging,
    /// Always healthy and idle.
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
            _ => Err(format!("{text:?} is none of honest, lagging, misleading")),
        }
    }
}

impl Probe {
    /// The kind as options write it.
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
    /// Where it listens for its node.
    pub listen: SocketAddr,
    /// Where its node is to reach it, where that is not [`Options::listen`].
    pub announced: Option<SocketAddr>,
    /// Its node's upstream listener; without one it serves alone.
    pub node: Option<SocketAddr>,
    /// Where it reports its runs.
    pub witness: Option<SocketAddr>,
    /// Its instance, for reports.
    pub instance: String,
    /// Its service, for reports.
    pub service: String,
    /// Its version.
    pub version: String,
    /// Requests that run at the same time.
    pub slots: u16,
    /// Requests that wait for a slot; more are shed.
    pub queue: u16,
    /// Connections that it takes.
    pub connections: u16,
    /// Time that opening a connection takes.
    pub open: Duration,
    /// Mean time that a request takes; each is drawn between half and one and a half of it.
    pub work: Duration,
    /// Time after the start during which requests take up to four times as long.
    pub cold: Duration,
    /// What its health and load endpoints tell.
    pub probe: Probe,
    /// How it is bad.
    pub bad: Badness,
    /// Time after which late badness shows.
    pub bad_onset: Duration,
    /// What the path of the bad route holds.
    pub bad_route: String,
    /// Time that SIGTERM leaves for requests in flight.
    pub grace: Duration,
    /// Seed of all that is drawn.
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
    /// The options as arguments of the command line.
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
