//! Waiting for a fleet, and caring for it beside the load.

use super::query::operator;
use super::{Fleet, Upstreams};
use crate::{BenchError, Result};
use error_stack::Report;
use http::Method;
use serde_json::json;
use std::future::Future;
use std::time::{Duration, Instant};

/// Time between two looks at a condition that is waited for.
const LOOK: Duration = Duration::from_millis(50);

/// Time between two looks for crashed upstreams.
const TEND: Duration = Duration::from_millis(200);

impl Fleet {
    /// Applies `resources` as the next configuration; gives its version.
    ///
    /// # Errors
    /// Where no node takes it in time.
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
                _ => monoio::time::sleep(LOOK).await,
            }
        }
    }

    /// Waits until every running node says that it is ready.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] with the first that is not.
    pub async fn wait_ready(&self) -> Result<()> {
        for instance in self.running() {
            self.wait_for(&format!("node of {instance}"), || self.is_ready(&instance)).await?;
        }
        Ok(())
    }

    /// Waits until every running node knows every other as serving.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] where one does not in time.
    pub async fn wait_members(&self) -> Result<()> {
        let names = self.running();
        let complete = || async {
            let queries = names.iter().map(|name| self.query(name, "nodes"));
            let answers = futures::future::join_all(queries).await;
            answers.iter().all(|answer| answer.as_ref().is_ok_and(|n| serving(n) >= names.len()))
        };
        self.wait_for("every node knows every other as serving", complete).await
    }

    /// Waits, as long as a fleet may take to get ready, until `condition` holds.
    ///
    /// # Errors
    /// [`BenchError::NotReady`] with `what`.
    pub async fn wait_for<F: Future<Output = bool>>(
        &self,
        what: &str,
        condition: impl Fn() -> F,
    ) -> Result<()> {
        let limit = self.options.ready_limit;
        let end = Instant::now() + limit;
        while !condition().await {
            if Instant::now() >= end {
                let what = format!("{what}, after {limit:?}; logs in {}", self.dir.display());
                return Err(Report::new(BenchError::NotReady(what)));
            }
            monoio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Starts crashed upstreams again, and announces those that are only announced, until the
    /// future is dropped. To be run beside the load.
    pub async fn tend(&self) {
        loop {
            for instance in self.names() {
                let crashed = self.with(&instance, |entry| {
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
            monoio::time::sleep(TEND).await;
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
        monoio::time::sleep(Duration::from_millis(800)).await;
    }
}

fn serving(nodes: &serde_json::Value) -> usize {
    let members = nodes["members"].as_array();
    members.map_or(0, |members| members.iter().filter(|m| m["state"] == "serving").count())
}
