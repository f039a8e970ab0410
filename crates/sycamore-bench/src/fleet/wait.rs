//! Waits for states of a fleet, and supervises its upstreams during a run: restarts or announces them.

use super::query::operator;
use super::{Fleet, Upstreams};
use crate::{BenchError, Result};
use error_stack::Report;
use http::Method;
use serde_json::json;
use std::future::Future;
use std::time::{Duration, Instant};

/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks for crashed upstreams.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a round of announcements for upstreams that don't run.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(800);

impl Fleet {
    /// Applies `resources` as the next configuration, at the first node that accepts it, and returns its
    /// version.
    ///
    /// # Errors
    /// The last node's error if no node accepts it within [`super::Options::ready_limit`].
    pub async fn apply_resources(
        &self,
        operator: &str,
        resources: Vec<serde_json::Value>,
    ) -> Result<u64> {
        let op = format!("{:032x}", rand::random::<u128>());
        let body =
            json!({ "operator": operator, "op": op, "expect": null, "resources": resources });
        let end = Instant::now() + self.options.ready_limit;
        loop {
            let mut last = None;
            for instance in self.names() {
                match self.command(&instance, "config-apply", &body).await {
                    Ok(answer) => return Ok(answer["version"].as_u64().unwrap_or(0)),
                    Err(report) => last = Some(report),
                }
            }
            match last {
                Some(report) if Instant::now() >= end => return Err(report),
                _ => monoio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until every running node answers that it is ready.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] with the first node that isn't ready within
    /// [`super::Options::ready_limit`].
    pub async fn wait_ready(&self) -> Result<()> {
        for instance in self.running() {
            let what = format!("readiness of the node of {instance}");
            self.wait_for(&what, || self.is_ready(&instance)).await?;
        }
        Ok(())
    }

    /// Waits until every running node sees every other as serving.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] if a node doesn't see all others as serving within
    /// [`super::Options::ready_limit`].
    pub async fn wait_members(&self) -> Result<()> {
        let names = self.running();
        let complete = || async {
            let queries = names.iter().map(|name| self.query(name, "nodes"));
            let answers = futures::future::join_all(queries).await;
            answers.iter().all(|answer| answer.as_ref().is_ok_and(|n| serving(n) >= names.len()))
        };
        self.wait_for("every node sees every other as serving", complete).await
    }

    /// Waits until `condition` holds, for at most [`super::Options::ready_limit`].
    ///
    /// # Errors
    /// [`BenchError::NotReady`] with `what`, which names the condition.
    pub async fn wait_for<F: Future<Output = bool>>(
        &self,
        what: &str,
        condition: impl Fn() -> F,
    ) -> Result<()> {
        let limit = self.options.ready_limit;
        let end = Instant::now() + limit;
        while !condition().await {
            if Instant::now() >= end {
                let dir = self.dir.display();
                let what = format!("waited {limit:?} for: {what}; logs in {dir}");
                return Err(Report::new(BenchError::NotReady(what)));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Restarts crashed upstreams, and announces the upstreams of fleets with [`Upstreams::Announced`],
    /// until the future is dropped. The future must run concurrently with every load and wait.
    pub async fn supervise(&self) {
        loop {
            for instance in self.names() {
                let crashed = self.with_instance(&instance, |entry| {
                    let ended = entry.upstream.as_mut().is_some_and(|u| u.status().is_some());
                    Ok(ended && entry.respawn)
                });
                if crashed.unwrap_or(false) {
                    let _ = self.start_upstream(&instance);
                }
            }
            if self.options.upstreams == Upstreams::Announced {
                self.announce_all().await;
            }
            monoio::time::sleep(SUPERVISION_INTERVAL).await;
        }
    }

    async fn announce_all(&self) {
        let posts = self
            .instances
            .borrow()
            .values()
            .map(|entry| {
                let (node, options) = (entry.addrs.upstream, entry.spec.upstream.clone());
                async move {
                    let body = json!({
                        "version": options.version, "address": options.listen,
                        "slots": options.slots, "connections": options.connections, "cold_ms": 0,
                    });
                    let _ = operator(node, Method::POST, "/shift/announce", body.to_string()).await;
                }
            })
            .collect::<Vec<_>>();
        futures::future::join_all(posts).await;
        monoio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

/// Counts the serving members in an answer to the query `nodes`.
fn serving(nodes: &serde_json::Value) -> usize {
    let members = nodes["members"].as_array();
    members.map_or(0, |members| members.iter().filter(|m| m["state"] == "serving").count())
}
