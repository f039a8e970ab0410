//! Calls of callers, other nodes and the upstream.

use crate::hub::Hub;
use crate::tasks::TaskGroup;
use error_stack::Report;
use std::rc::Rc;

/// Calls of callers, other nodes and the upstream.
pub struct Calls;

/// Starts the slice's tasks.
///
/// # Errors
/// None so far.
pub async fn start(
    _hub: &Rc<Hub>,
    _tasks: &TaskGroup,
) -> Result<Rc<Calls>, Report<std::io::Error>> {
    Ok(Rc::new(Calls))
}
