//! Release moves.

use crate::hub::Hub;
use crate::operator::OperatorError;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use error_stack::Report;
use std::rc::Rc;

/// Release moves.
pub struct Moves;

/// Starts the slice's tasks.
///
/// # Errors
/// None so far.
pub async fn start(
    _hub: &Rc<Hub>,
    _tasks: &TaskGroup,
    _platform: &Rc<Platform>,
    _peers: &Rc<Peers>,
) -> Result<Rc<Moves>, Report<std::io::Error>> {
    Ok(Rc::new(Moves))
}

impl Moves {
    /// Imports the sheet in `body` as a plan.
    ///
    /// # Errors
    /// [`OperatorError`] where the sheet is faulty, somebody else won or the platform is out.
    pub async fn import(&self, _body: &[u8]) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::Unavailable("not built yet".to_owned()))
    }

    /// Aborts a move; works with the platform out as well.
    ///
    /// # Errors
    /// [`OperatorError`] where there is no such move or it has ended.
    pub async fn abort(&self, _body: &[u8]) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::Unavailable("not built yet".to_owned()))
    }

    /// The plans.
    ///
    /// # Errors
    /// [`OperatorError::Unavailable`] where the platform is out.
    pub async fn plans(&self) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::Unavailable("not built yet".to_owned()))
    }

    /// The moves of `plan`, or of all plans.
    ///
    /// # Errors
    /// [`OperatorError`] where there is no such plan or the platform is out.
    pub async fn moves(&self, _plan: Option<&str>) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::Unavailable("not built yet".to_owned()))
    }

    /// The report on `plan`, or on all plans.
    ///
    /// # Errors
    /// [`OperatorError`] where there is no such plan or the platform is out.
    pub async fn report(&self, _plan: Option<&str>) -> Result<serde_json::Value, OperatorError> {
        Err(OperatorError::Unavailable("not built yet".to_owned()))
    }
}
