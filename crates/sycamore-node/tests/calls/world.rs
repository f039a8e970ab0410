//! Cluster of nodes with fake upstreams on one event loop, and helpers of the tests.

use super::upstream::Upstream;
use bytes::Bytes;
use http::{Request, Response};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_http::{Client, ClientConfig, ClientError};
use sycamore_node::calls::{self, Calls};
use sycamore_node::edge::Edges;
use sycamore_node::hub::{AnnouncedUpstream, Hub};
use sycamore_node::tasks::TaskGroup;
use sycamore_settings::{
    accounts::Accounts, calls::Calls as CallSettings, hedge::Hedge, node, Settings,
};
use sycamore_testing::unused_addr;
use sycamore_types::prelude::*;

/// Maximum duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs `test` on an event loop of its own; panics after [`TEST_TIMEOUT`].
pub fn run<F: Future>(test: F) -> F::Output {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("runtime starts");
    runtime.block_on(async {
        monoio::time::timeout(TEST_TIMEOUT, test).await.expect("test ends in time")
    })
}

/// Size and configuration of a test cluster.
#[derive(Clone)]
pub struct Options {
    pub nodes: usize,
    /// Concurrent calls that each upstream announces.
    pub slots: u16,
    pub limits: Limits,
    /// Timeout of the cluster's only route, `/counter`.
    pub timeout: Duration,
    pub calls: CallSettings,
    /// Whether the nodes have a configuration.
    pub is_configured: bool,
    /// Client accounts of the configuration.
    pub accounts: Vec<ClientAccount>,
    /// Second attempts for slow calls.
    pub hedge: Hedge,
    /// Time within which a withdrawn key ends, if the settings state one.
    pub withdraw_within: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nodes: 2,
            slots: 4,
            limits: Limits::default(),
            timeout: Duration::from_secs(5),
            calls: CallSettings { key_memory: Duration::ZERO, ..CallSettings::default() },
            is_configured: true,
            accounts: Vec::new(),
            hedge: Hedge::default(),
            withdraw_within: None,
        }
    }
}

/// Node with its fake upstream.
pub struct Node {
    pub hub: Rc<Hub>,
    pub calls: Rc<Calls>,
    pub upstream: Rc<Upstream>,
    pub member: Member,
    /// Client of the node's caller listener.
    pub caller: Client,
    tasks: TaskGroup,
}

/// Cluster of nodes of one service, `counter`.
pub struct Cluster {
    pub nodes: Vec<Node>,
    options: Options,
}

pub fn service() -> ServiceName {
    ServiceName::new("counter").unwrap()
}

pub fn version(text: &str) -> UpstreamVersion {
    UpstreamVersion::new(text).unwrap()
}

impl Cluster {
    pub async fn start(options: &Options) -> Self {
        let mut nodes = Vec::new();
        for i in 0..options.nodes {
            nodes.push(start_node(i, options, Rc::new(Upstream::start()), Incarnation(1)).await);
        }
        let cluster = Self { nodes, options: options.clone() };
        cluster.publish_members(|_| true);
        cluster
    }

    /// Replaces the node with this index by a new process, which knows nothing; its upstream lives on.
    #[allow(dead_code, reason = "tests/endless restarts no node")]
    pub async fn restart(&mut self, i: usize) {
        self.nodes[i].tasks.stop();
        self.nodes[i].tasks.join().await;
        let (upstream, member) = (self.nodes[i].upstream.clone(), &self.nodes[i].member);
        let incarnation = Incarnation(member.incarnation.0 + 1);
        self.nodes[i] = start_node(i, &self.options, upstream, incarnation).await;
        self.publish_members(|_| true);
        settle().await;
    }

    /// Sets every node's membership view to the members that satisfy `keep`.
    pub fn publish_members(&self, keep: impl Fn(&Member) -> bool) {
        let members = self.nodes.iter().map(|node| node.member.clone()).filter(|m| keep(m));
        let members = members.map(|member| (member.instance.clone(), member)).collect();
        let view = Arc::new(MemberView { members });
        for node in &self.nodes {
            node.hub.members.send_replace(view.clone());
        }
    }

    /// Sets the shares of `counter`'s versions at every node.
    pub fn publish_shares(&self, shares: &[VersionShare]) {
        let mut table = ShareTable::default();
        table.services.insert(service(), shares.to_vec());
        for node in &self.nodes {
            node.hub.shares.send_replace(Arc::new(table.clone()));
        }
    }

    /// Sends a request to the first node; panics without a whole answer.
    pub async fn call(&self, req: http::request::Builder, body: &str) -> Response<Bytes> {
        self.try_call(0, req, body).await.expect("the first node answers whole")
    }

    /// Sends a request to the node with this index.
    pub async fn try_call(
        &self,
        node: usize,
        req: http::request::Builder,
        body: &str,
    ) -> Result<Response<Bytes>, ClientError> {
        let req = req.body(Bytes::copy_from_slice(body.as_bytes())).unwrap();
        self.nodes[node].caller.send(req).await.map_err(|report| *report.current_context())
    }

    /// Returns the number of runs, at all upstreams, of requests whose path ends in `name`.
    pub fn runs(&self, name: &str) -> usize {
        self.nodes.iter().map(|node| node.upstream.runs(name)).sum()
    }

    /// Stops every node and joins its tasks.
    pub async fn stop(self) {
        for node in &self.nodes {
            node.tasks.stop();
        }
        for node in self.nodes {
            node.tasks.join().await;
        }
    }
}

/// Waits until the tasks that watch the hub have applied its latest values.
pub async fn settle() {
    monoio::time::sleep(Duration::from_millis(5)).await;
}

/// Polls `condition` until it holds; [`run`] bounds the wait.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn start_node(
    i: usize,
    options: &Options,
    upstream: Rc<Upstream>,
    incarnation: Incarnation,
) -> Node {
    let listen = node::Listen {
        caller: unused_addr(),
        upstream: unused_addr(),
        relay: unused_addr(),
        peer: unused_addr(),
        operator: unused_addr(),
        ready: None,
        relay_advertised: None,
        peer_advertised: None,
    };
    let instance = InstanceId::new(format!("counter-{i}")).unwrap();
    let settings = Settings {
        node: node::Node { instance: instance.clone(), ..node::Node::default() },
        listen: listen.clone(),
        calls: options.calls.clone(),
        accounts: Accounts { withdraw_within: options.withdraw_within },
        hedge: options.hedge.clone(),
        log: sycamore_settings::operator::Log {
            level: sycamore_settings::operator::LogLevel::Error,
            ..Default::default()
        },
        ..Settings::default()
    };
    let member = Member {
        instance,
        incarnation,
        state: MemberState::Serving,
        service: service(),
        version: version("1.0.0"),
        data_centre: settings.node.data_centre.clone(),
        region: settings.node.region.clone(),
        endpoints: Endpoints { peer: listen.peer, relay: listen.relay },
        slots: options.slots,
        left: None,
    };
    let hub = Hub::new(settings);
    let tasks = TaskGroup::default();
    let calls = calls::start(&hub, &tasks, &Edges::default()).await.unwrap();
    if options.is_configured {
        hub.publish_snapshot(snapshot(options));
    }
    hub.upstream.send_replace(Some(AnnouncedUpstream {
        process: ProcessId(1),
        started: None,
        version: version("1.0.0"),
        address: upstream.address(),
        slots: options.slots,
        connections: 120,
        name: None,
        warm_at: Time(0),
        draining: false,
        has_left: false,
    }));
    let config = ClientConfig { body_bytes: 64 << 20, ..ClientConfig::default() };
    let caller = Client::new(listen.caller, config);
    Node { hub, calls, upstream, member, caller, tasks }
}

fn snapshot(options: &Options) -> Snapshot {
    let service = Service {
        name: service(),
        limits: options.limits.clone(),
        retry: RetryPolicy::default(),
        warm_up: None,
    };
    let route = Route {
        name: RouteName::new("counter").unwrap(),
        host: None,
        prefix: "/counter".into(),
        service: service.name.clone(),
        split: Vec::new(),
        timeout: options.timeout,
        policy: RoutePolicy::default(),
        fault: None,
    };
    Snapshot {
        version: ConfigVersion(1),
        services: [(service.name.clone(), service)].into(),
        routes: vec![route].into(),
        accounts: options.accounts.iter().cloned().collect(),
        ..Snapshot::default()
    }
}

pub fn get(path: &str) -> http::request::Builder {
    Request::get(path)
}

pub fn post(path: &str) -> http::request::Builder {
    Request::post(path)
}

/// Returns the header field `name` of an answer, empty if absent.
pub fn field<'a>(resp: &'a Response<Bytes>, name: &str) -> &'a str {
    resp.headers().get(name).map_or("", |value| value.to_str().unwrap())
}
