//! The node's clients of the platform's table and object store.

use crate::hub::Meter;
use http::StatusCode;
use prometheus::Registry;
use std::rc::Rc;
use sycamore_platform::budget::BudgetSettings;
use sycamore_platform::http::{FinishedRequest, Observer, RequestKind};
use sycamore_platform::{HttpPlatform, HttpSettings, StoreProtocol};
use sycamore_settings::platform::Platform as Settings;

/// Clients of the platform, shared by the slices.
pub struct Platform {
    http: HttpPlatform,
}

impl Platform {
    /// Clients with `settings` that speak `protocol`; nothing is connected yet.
    /// Requests are counted in `registry`.
    ///
    /// # Errors
    /// Where the registry has metrics of these names.
    pub fn new(
        settings: &Settings,
        protocol: Rc<dyn StoreProtocol>,
        registry: &Registry,
    ) -> prometheus::Result<Self> {
        let http = HttpSettings {
            objects: settings.objects,
            timeout: settings.timeout,
            budget: BudgetSettings::default(),
            ..HttpSettings::new(settings.table)
        };
        let observer = observer(registry)?;
        Ok(Self { http: HttpPlatform::with_protocol(http, protocol).with_observer(observer) })
    }

    /// The client of the table and of the object store.
    pub fn http(&self) -> &HttpPlatform {
        &self.http
    }
}

/// Counts each request by its kind and result, and times it.
fn observer(registry: &Registry) -> prometheus::Result<Observer> {
    let meter = Meter::new(registry);
    let labels = &["kind", "result"];
    let results = meter.counters("platform_results_total", "Requests to the platform", labels)?;
    let seconds = meter.times_by("platform_seconds", "Time of a request there", &["kind"])?;
    Ok(Rc::new(move |ended: FinishedRequest| {
        let kind = match ended.kind {
            RequestKind::Read => "read",
            RequestKind::Write => "write",
            RequestKind::Watch => "watch",
        };
        results.with_label_values(&[kind, result(ended.status)]).inc();
        seconds.with_label_values(&[kind]).observe(ended.took.as_secs_f64());
    }))
}

fn result(status: Option<StatusCode>) -> &'static str {
    match status {
        None => "no-answer",
        Some(status) if status.is_success() => "ok",
        Some(StatusCode::PRECONDITION_FAILED) => "conflict",
        Some(StatusCode::TOO_MANY_REQUESTS) => "throttled",
        Some(StatusCode::SERVICE_UNAVAILABLE) => "unavailable",
        Some(_) => "other",
    }
}
