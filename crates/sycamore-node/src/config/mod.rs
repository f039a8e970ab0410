//! Discovers, fetches and applies configurations.

mod accept;
mod delta;
mod driver;
mod encode;
mod fetch;
mod find;
mod floor;
mod follow;
mod metrics;
mod out_of_use;
mod query;
mod request;
pub(crate) mod role;
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

/// Error of [`start`]: the configuration metrics can't be registered.
#[derive(Debug)]
pub struct ConfigError;

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the configuration metrics can't be registered")
    }
}

impl std::error::Error for ConfigError {}

/// Handle to the running configuration subsystem.
pub struct Config {
    driver: Rc<Driver>,
}

/// Spawns the configuration subsystem's tasks on `tasks`. With `operators`, this node watches the
/// rows that operators write; without, it polls the head row.
///
/// # Errors
/// [`ConfigError`] if a metric can't be registered.
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
    delta::start(&driver, tasks);
    find::follow(&driver, tasks);
    match operators {
        Some(edge) => {
            follow::start(&driver, tasks, edge);
            request::start(&driver, tasks);
        }
        None => find::poll(&driver, tasks),
    }
    floor::start(&driver, tasks);
    serve::start(&driver, tasks);
    Ok(Rc::new(Config { driver }))
}

impl Config {
    /// Validates the bundle in `body` and commits it as the current configuration.
    ///
    /// # Errors
    /// [`OperatorError`] if the bundle is invalid, another change was committed first or the
    /// platform is unavailable.
    pub async fn apply(&self, body: &[u8]) -> Result<serde_json::Value, OperatorError> {
        accept::accept(&self.driver, body).await
    }

    /// Answers the query `config`: the configuration in force on this node and the heads it
    /// rejected.
    ///
    /// # Errors
    /// [`OperatorError::NotFound`] if this node has no configuration yet.
    pub async fn query(&self) -> Result<serde_json::Value, OperatorError> {
        query::config(&self.driver)
    }
}
