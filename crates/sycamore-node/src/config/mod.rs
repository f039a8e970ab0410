//! Finding and applying configurations.

mod accept;
mod driver;
mod fetch;
mod find;
mod floor;
mod follow;
mod metrics;
mod query;
mod serve;

use crate::edge::OperatorEdge;
use crate::hub::Hub;
use crate::operator::OperatorError;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use driver::Driver;
use error_stack::{Report, ResultExt};
use metrics::Metrics;
use std::fmt;
use std::rc::Rc;

/// The metrics of configurations can't be registered.
#[derive(Debug)]
pub struct ConfigError;

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the metrics of configurations can't be registered")
    }
}

impl std::error::Error for ConfigError {}

/// Finding and applying configurations.
pub struct Config {
    driver: Rc<Driver>,
}

/// Starts the slice's tasks.
///
/// # Errors
/// [`ConfigError`] where a metric can't be registered.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    platform: &Rc<Platform>,
    peers: &Rc<Peers>,
    operators: Option<Rc<dyn OperatorEdge>>,
) -> Result<Rc<Config>, Report<ConfigError>> {
    let metrics = Metrics::register(&hub.registry).change_context(ConfigError)?;
    let (driver, fetches) = Driver::new(hub, platform, peers, metrics);
    fetch::start(&driver, tasks, fetches);
    find::follow(&driver, tasks);
    match operators {
        Some(edge) => follow::start(&driver, tasks, edge),
        None => find::poll(&driver, tasks),
    }
    floor::start(&driver, tasks);
    serve::start(&driver, tasks);
    Ok(Rc::new(Config { driver }))
}

impl Config {
    /// Checks the bundle in `body` and makes it the current configuration.
    ///
    /// # Errors
    /// [`OperatorError`] where the bundle is faulty, somebody else won or the platform is out.
    pub async fn apply(&self, body: &[u8]) -> Result<serde_json::Value, OperatorError> {
        accept::accept(&self.driver, body).await
    }

    /// The configuration in force on this node.
    ///
    /// # Errors
    /// [`OperatorError::NotFound`] where there is none yet.
    pub async fn query(&self) -> Result<serde_json::Value, OperatorError> {
        query::config(&self.driver)
    }
}
