//! Membership and spreading.

use crate::hub::Hub;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use error_stack::Report;
use std::rc::Rc;

/// Membership and spreading.
pub struct Peers;

/// Starts the slice's tasks.
///
/// # Errors
/// None so far.
pub async fn start(
    _hub: &Rc<Hub>,
    _tasks: &TaskGroup,
    _platform: &Rc<Platform>,
) -> Result<Rc<Peers>, Report<std::io::Error>> {
    Ok(Rc::new(Peers))
}
