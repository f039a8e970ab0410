//! The demonstration.

use crate::Result;

/// Options of the demonstration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Settings and logs are kept.
    pub keep: bool,
}

/// Runs it.
///
/// # Errors
/// Where it could not be carried out, or did not end as it must.
pub async fn run(_options: Options) -> Result<()> {
    Ok(())
}
