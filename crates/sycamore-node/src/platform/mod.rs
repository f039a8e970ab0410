//! The node's clients of the platform's table and object store.

use sycamore_settings::platform::Platform as Settings;

/// Clients of the platform, shared by the slices.
pub struct Platform;

impl Platform {
    /// Clients with `settings`; nothing is connected yet.
    pub fn new(_settings: &Settings) -> Self {
        Self
    }
}
