//! The node's clients of the platform's table and object store.

use sycamore_platform::budget::BudgetSettings;
use sycamore_platform::{HttpPlatform, HttpSettings};
use sycamore_settings::platform::Platform as Settings;

/// Clients of the platform, shared by the slices.
pub struct Platform {
    http: HttpPlatform,
}

impl Platform {
    /// Clients with `settings`; nothing is connected yet.
    pub fn new(settings: &Settings) -> Self {
        let http = HttpPlatform::new(HttpSettings {
            objects: settings.objects,
            timeout: settings.timeout,
            budget: BudgetSettings::default(),
            ..HttpSettings::new(settings.table)
        });
        Self { http }
    }

    /// The client of the table and of the object store.
    pub fn http(&self) -> &HttpPlatform {
        &self.http
    }
}
