//! Options of the `stand-in` commands.

use super::Command;
use crate::stand_in::{platform, upstream};
use bpaf::{construct, long, Parser};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Parses the `stand-in` subcommands.
pub fn parser() -> impl Parser<Command> {
    let platform = platform()
        .to_options()
        .descr("Runs a stand-in of the platform: table and object store.")
        .command("platform")
        .map(Command::Platform);
    let upstream = upstream()
        .to_options()
        .descr("Runs an emulated upstream of a node.")
        .command("upstream")
        .map(|options| Command::Upstream(Box::new(options)));
    construct!([platform, upstream])
}

/// Parses `--name` with a placeholder for its value's unit and a default.
fn arg<T>(name: &'static str, unit: &'static str, fallback: T) -> impl Parser<T>
where
    T: FromStr + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name).argument::<T>(unit).fallback(fallback)
}

/// Parses `--name` as a duration in milliseconds.
fn millis(name: &'static str, fallback: Duration) -> impl Parser<Duration> {
    let fallback = u64::try_from(fallback.as_millis()).unwrap_or(u64::MAX);
    arg(name, "MS", fallback).map(Duration::from_millis)
}

fn platform() -> impl Parser<platform::Options> {
    let default = platform::Options::default();
    let listen = arg("listen", "ADDR", default.listen);
    let reads_per_s = arg("reads-per-s", "N", default.reads_per_s);
    let writes_per_s = arg("writes-per-s", "N", default.writes_per_s);
    construct!(platform::Options { listen, reads_per_s, writes_per_s })
}

fn upstream() -> impl Parser<upstream::Options> {
    let default = upstream::Options::default();
    let listen = arg("listen", "ADDR", default.listen);
    let announced = long("announced").argument::<SocketAddr>("ADDR").optional();
    let node = long("node").argument::<SocketAddr>("ADDR").optional();
    let witness = long("witness").argument::<SocketAddr>("ADDR").optional();
    let instance = arg("instance", "NAME", default.instance);
    let service = arg("service", "NAME", default.service);
    let version = arg("version-of-upstream", "VERSION", default.version);
    let slots = arg("slots", "N", default.slots);
    let queue = arg("queue", "N", default.queue);
    let connections = arg("connections", "N", default.connections);
    let open = millis("open-ms", default.open);
    let work = arg("work-us", "US", default.work.as_micros() as u64).map(Duration::from_micros);
    let cold = millis("cold-ms", default.cold);
    let probe = arg("probe", "KIND", default.probe);
    let bad = arg("bad", "KIND", default.bad);
    let bad_onset = millis("bad-onset-ms", default.bad_onset);
    let bad_route = arg("bad-route", "TEXT", default.bad_route);
    let grace = millis("grace-ms", default.grace);
    let seed = super::seed();
    construct!(upstream::Options {
        listen,
        announced,
        node,
        witness,
        instance,
        service,
        version,
        slots,
        queue,
        connections,
        open,
        work,
        cold,
        probe,
        bad,
        bad_onset,
        bad_route,
        grace,
        seed,
    })
}
