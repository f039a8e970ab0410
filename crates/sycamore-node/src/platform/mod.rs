//! Client of the platform's table and object store, with its metrics.

use crate::hub::Meter;
use http::StatusCode;
use prometheus::Registry;
use std::rc::Rc;
use sycamore_platform::budget::BudgetSettings;
use sycamore_platform::http::{FinishedRequest, Observer, RequestKind};
use sycamore_platform::{HttpPlatform, HttpSettings, StoreProtocol};
use sycamore_settings::platform::Platform as Settings;

/// Platform client shared by the subsystems of the node.
pub struct Platform {
    http: HttpPlatform,
}

impl Platform {
    /// Creates a client with `settings` that speaks `protocol` and registers its request metrics
    /// with `registry`. No connection is opened yet.
    ///
    /// # Errors
    /// [`prometheus::Error`] if the registry already has metrics of these names.
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

    /// Returns the HTTP client of the table and the object store.
    pub fn http(&self) -> &HttpPlatform {
        &self.http
    }
}

/// Creates an observer that counts each request by kind and result, and measures its duration.
fn observer(registry: &Registry) -> prometheus::Result<Observer> {
    let meter = Meter::new(registry);
    let labels = &["kind", "result"];
    let help = "Requests to the platform, by kind and result";
    let results = meter.counters("platform_results_total", help, labels)?;
    let help = "Duration of requests to the platform, in seconds";
    let seconds = meter.times_by("platform_seconds", help, &["kind"])?;
    Ok(Rc::new(move |ended: FinishedRequest| {
        let kind = match ended.kind {
            RequestKind::Read => "read",
            RequestKind::Write => "write",
            RequestKind::Watch => "watch",
        };
        results.with_label_values(&[kind, result_label(ended.status)]).inc();
        seconds.with_label_values(&[kind]).observe(ended.took.as_secs_f64());
    }))
}

fn result_label(status: Option<StatusCode>) -> &'static str {
    match status {
        None => "no-answer",
        Some(status) if status.is_success() => "ok",
        Some(StatusCode::PRECONDITION_FAILED) => "conflict",
        Some(StatusCode::TOO_MANY_REQUESTS) => "throttled",
        Some(StatusCode::SERVICE_UNAVAILABLE) => "unavailable",
        Some(_) => "other",
    }
}
