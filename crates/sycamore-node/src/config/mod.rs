//! Finding and applying configurations.

use crate::hub::Hub;
use crate::operator::OperatorError;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use error_stack::Report;
use std::rc::Rc;

/// Finding and applying configurations.
pub struct Config;

/// Starts the slice's tasks.
///
/// # Errors
/// None so far.
pub async fn start(
    _hub: &Rc<Hub>,
    _tasks: &TaskGroup,
    _platform: &Rc<Platform>,
    _peers: &Rc<Peers>,
) -> Result<Rc<Config>, Report<std::io::Error>> {
    Ok(Rc::new(Config))
}

impl Config {
    /// Checks the bundle in `body` and makes it the current configuration.
    ///
    /// # Errors
    /// [`OperatorError`] where the bundle is faulty, somebody else won or the platform is out.
    pub async fn apply(&self, _body: &[u8]) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::Unavailable("not built yet".to_owned()))
    }

    /// The configuration in force on this node.
    ///
    /// # Errors
    /// [`OperatorError::NotFound`] where there is none yet.
    pub async fn query(&self) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::NotFound("a configuration".to_owned()))
    }
}
