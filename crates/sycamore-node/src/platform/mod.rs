//! The node's clients of the platform's table and object store.

use std::rc::Rc;
use sycamore_platform::budget::BudgetSettings;
use sycamore_platform::{HttpPlatform, HttpSettings, StoreProtocol};
use sycamore_settings::platform::Platform as Settings;

/// Clients of the platform, shared by the slices.
pub struct Platform {
    http: HttpPlatform,
}

impl Platform {
    /// Clients with `settings` that speak `protocol`; nothing is connected yet.
    pub fn new(settings: &Settings, protocol: Rc<dyn StoreProtocol>) -> Self {
        let http = HttpSettings {
            objects: settings.objects,
            timeout: settings.timeout,
            budget: BudgetSettings::default(),
            ..HttpSettings::new(settings.table)
        };
        Self { http: HttpPlatform::with_protocol(http, protocol) }
    }

    /// The client of the table and of the object store.
    pub fn http(&self) -> &HttpPlatform {
        &self.http
    }
}
