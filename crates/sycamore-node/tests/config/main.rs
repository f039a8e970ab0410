//! Tests of a node that reads operators' rows: its configuration, its orders and its metrics.
#![allow(clippy::unwrap_used, reason = "tests")]

mod fetches;
mod follower;
mod out_of_use;
mod reads;
mod store;

use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use store::{Protocol, Store, PREFIX};
use sycamore_config::bundle::MAX_RESOURCES;
use sycamore_node::edge::{
    MalformedConfig, OperatorConfig, OperatorEdge, OperatorRow, ReleaseOrder, ReleaseState,
};
use sycamore_node::hub::Hub;
use sycamore_node::platform::Platform;
use sycamore_node::tasks::TaskGroup;
use sycamore_node::{config, peers};
use sycamore_settings::{config::Config as ConfigSettings, node, Settings};
use sycamore_testing::unused_addr;
use sycamore_types::prelude::*;

/// Maximum duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Key of the row with the configuration.
const CONFIG_KEY: &str = "config";

/// Edge whose row of the configuration holds a version, the number of entries, of which the first
/// is a service and the others are its routes, and the parts of each route's split with their
/// weight. One without the number of entries is malformed. A row `out-` and a name takes a data
/// centre out of use. Other rows are orders, named by their service.
struct Rows;

impl OperatorEdge for Rows {
    fn prefix(&self) -> &'static str {
        PREFIX
    }

    fn read(&self, key: &str, value: &Value) -> OperatorRow {
        let name = key.strip_prefix(PREFIX).unwrap();
        if let Some(data_centre) = self.data_centre_of(key) {
            return OperatorRow::OutOfUse(Ok(data_centre));
        }
        if name != CONFIG_KEY {
            return OperatorRow::Release(Ok(ReleaseOrder {
                to_name: String::new(),
                service_name: name.to_owned(),
                service: ServiceName::new(name).unwrap(),
                to: UpstreamVersion::new("v2").unwrap(),
                duration: Duration::from_secs(60),
            }));
        }
        let version = ConfigVersion(value["version"].as_u64().unwrap());
        let Some(entries) = value["entries"].as_u64() else {
            let why = "no entries".to_owned();
            return OperatorRow::Config(Err(MalformedConfig { version: Some(version), why }));
        };
        let entries = usize::try_from(entries).unwrap();
        let parts = usize::try_from(value["parts"].as_u64().unwrap_or_default()).unwrap();
        let weight = u32::try_from(value["weight"].as_u64().unwrap_or(1)).unwrap();
        let resources = resources(entries, parts, weight);
        OperatorRow::Config(Ok(OperatorConfig { version, resources, ..OperatorConfig::default() }))
    }

    fn data_centre_of(&self, key: &str) -> Option<DataCentre> {
        DataCentre::new(key.strip_prefix(PREFIX)?.strip_prefix("out-")?).ok()
    }

    fn status(&self, _: &ReleaseOrder, _: ReleaseState) -> (String, Value) {
        unreachable!("the tests give no orders")
    }
}

/// Returns a service and its routes, `entries` in all; the split of each route has this number of
/// `parts` of this `weight`.
fn resources(entries: usize, parts: usize, weight: u32) -> Vec<Resource> {
    let name = ServiceName::new("counter").unwrap();
    let part = WeightedService { service: name.clone(), weight };
    let route = |i: usize| Route {
        name: RouteName::new(format!("route-{i}")).unwrap(),
        host: None,
        prefix: format!("/route-{i}"),
        service: name.clone(),
        split: vec![part.clone(); parts],
        timeout: Duration::from_secs(1),
        policy: RoutePolicy::default(),
        fault: None,
    };
    let service = Service {
        name: name.clone(),
        limits: Limits::default(),
        retry: RetryPolicy::default(),
        warm_up: None,
    };
    let routes = (1..entries).map(|i| Resource::Route(route(i)));
    std::iter::once(Resource::Service(service)).chain(routes).collect()
}

/// Returns the size of the encoded entries of a row, in bytes.
fn encoded_bytes(entries: usize) -> i64 {
    let bodies =
        resources(entries, 0, 1).into_iter().map(|entry| serde_json::to_vec(&entry).unwrap());
    i64::try_from(bodies.map(|body| body.len()).sum::<usize>()).unwrap()
}

/// Node with the store that it uses.
struct Node {
    hub: Rc<Hub>,
    store: Store,
    tasks: TaskGroup,
}

impl Node {
    /// Starts a node alone in its fleet.
    async fn start(store: Store, config: ConfigSettings) -> Self {
        let mut settings = Settings { config, ..Settings::default() };
        settings.listen = node::Listen { peer: unused_addr(), ..settings.listen };
        Self::start_with(store, settings).await
    }

    /// Starts a node with these `settings`, except for the addresses of `store`.
    async fn start_with(store: Store, mut settings: Settings) -> Self {
        settings.platform.table = store.serve();
        settings.platform.objects = settings.platform.table;
        let hub = Hub::new(settings);
        let tasks = TaskGroup::default();
        let platform = Platform::new(&hub.settings.platform, Rc::new(Protocol), &hub.registry);
        let platform = Rc::new(platform.unwrap());
        let peers = peers::start(&hub, &tasks, &platform).await.unwrap();
        let rows: Rc<dyn OperatorEdge> = Rc::new(Rows);
        config::start(&hub, &tasks, &platform, &peers, Some(rows)).await.unwrap();
        Self { hub, store, tasks }
    }

    fn write_row(&self, version: u64, entries: usize) {
        self.store.write(CONFIG_KEY, json!({"version": version, "entries": entries}));
    }

    /// Returns the value of the counter or gauge `name`, without its prefix.
    fn metric(&self, name: &str) -> i64 {
        let name = format!("sycamoreshift_{name}");
        let families = self.hub.registry.gather();
        let family = families.iter().find(|family| family.name() == name).unwrap();
        let metric = &family.get_metric()[0];
        (metric.get_gauge().get_value() + metric.get_counter().get_value()) as i64
    }

    /// Returns the node's role in reading the rows.
    fn role(&self) -> String {
        let families = self.hub.registry.gather();
        let roles = families.iter().find(|f| f.name() == "sycamoreshift_config_reader_role");
        let metrics = roles.unwrap().get_metric();
        let held = metrics.iter().find(|metric| metric.get_gauge().get_value() > 0.0);
        held.unwrap().get_label()[0].value().to_owned()
    }

    /// Returns the versions in force, known and rejected.
    fn versions(&self) -> [i64; 3] {
        ["config_version", "config_known_version", "config_rejected_version"]
            .map(|name| self.metric(name))
    }

    /// Waits until the metric `name` has the `value`.
    async fn wait_for(&self, name: &str, value: i64) {
        while self.metric(name) != value {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn stop(self) {
        self.tasks.stop();
        self.tasks.join().await;
    }
}

/// Runs `test` on a node; panics after [`TEST_TIMEOUT`].
fn run(test: impl AsyncFnOnce(&Node)) {
    run_on(Store::default(), ConfigSettings::default(), test);
}

/// Runs `test` on a node with the settings `config` that starts with the rows in `store`; panics
/// after [`TEST_TIMEOUT`].
fn run_on(store: Store, config: ConfigSettings, test: impl AsyncFnOnce(&Node)) {
    block_on(async || {
        let node = Node::start(store, config).await;
        test(&node).await;
        node.stop().await;
    });
}

/// Runs `test`; panics after [`TEST_TIMEOUT`].
fn block_on(test: impl AsyncFnOnce()) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let ended = monoio::time::timeout(TEST_TIMEOUT, test());
        ended.await.expect("the test ends in time");
    });
}

/// Guards against a node that rejects the newest row and looks current: its known version stays at
/// the one in force.
#[test]
fn a_rejected_row_raises_the_known_and_the_rejected_version_until_it_or_a_higher_one_is_applied() {
    run(async |node| {
        node.write_row(14, 3);
        node.wait_for("config_version", 14).await;
        assert_eq!(node.versions(), [14, 14, 0]);

        node.write_row(16, MAX_RESOURCES + 1);
        node.wait_for("config_rejected_total", 1).await;
        assert_eq!(node.versions(), [14, 16, 16]);
        node.write_row(19, MAX_RESOURCES + 2);
        node.wait_for("config_rejected_total", 2).await;
        assert_eq!(node.versions(), [14, 19, 19]);

        // The operator replaces the rejected row by a version between it and the one in force.
        node.write_row(17, 4);
        node.wait_for("config_version", 17).await;
        assert_eq!(node.versions(), [17, 17, 0]);

        node.write_row(19, MAX_RESOURCES + 2);
        node.wait_for("config_rejected_total", 3).await;
        assert_eq!(node.versions(), [17, 19, 19]);

        node.write_row(19, 5);
        node.wait_for("config_version", 19).await;
        assert_eq!(node.versions(), [19, 19, 0]);

        node.write_row(21, MAX_RESOURCES + 1);
        node.wait_for("config_rejected_total", 4).await;
        assert_eq!(node.versions(), [19, 21, 21]);
        node.write_row(22, 6);
        node.wait_for("config_version", 22).await;
        assert_eq!(node.versions(), [22, 22, 0]);
    });
}

/// A node that starts while the newest row is one that it rejects has no version in force.
#[test]
fn a_rejected_first_row_is_known_and_rejected() {
    run(async |node| {
        node.write_row(16, MAX_RESOURCES + 1);
        node.wait_for("config_rejected_total", 1).await;
        assert_eq!(node.versions(), [0, 16, 16]);
    });
}

/// Guards against a size that counts the manifest or a rejected row, so that nobody can tell how
/// near a configuration is to a limit.
#[test]
fn the_size_metrics_are_those_of_the_configuration_in_force() {
    run(async |node| {
        node.write_row(2, 7);
        node.wait_for("config_version", 2).await;
        assert_eq!(node.metric("config_resources"), 7);
        assert_eq!(node.metric("config_bytes"), encoded_bytes(7));

        node.write_row(3, MAX_RESOURCES + 1);
        node.wait_for("config_rejected_total", 1).await;
        assert_eq!(node.metric("config_resources"), 7);
        assert_eq!(node.metric("config_bytes"), encoded_bytes(7));

        node.write_row(4, 2);
        node.wait_for("config_version", 4).await;
        assert_eq!(node.metric("config_resources"), 2);
        assert_eq!(node.metric("config_bytes"), encoded_bytes(2));
    });
}
