//! Tests of the time after which an upstream without announcements counts as lost.

use std::time::Duration;
use sycamore_settings::calls::Calls;

fn timeout(interval_ms: u64) -> Duration {
    let announce_interval = Some(Duration::from_millis(interval_ms));
    Calls { announce_interval, ..Calls::default() }.announcement_timeout()
}

// Guards against live upstreams that are lost between two announcements: one announcement may be
// lost, and the next one be late.
#[test]
fn an_upstream_outlasts_a_lost_and_a_late_announcement_at_any_interval() {
    for interval in [100, 1_500, 2_500, 3_000, 5_000, 60_000] {
        let silence = Duration::from_millis(2 * interval + 1_900);
        let timeout = timeout(interval);
        assert!(timeout > silence, "lost after {timeout:?} at an interval of {interval} ms");
        assert!(timeout <= silence.max(Duration::from_secs(5)) + Duration::from_millis(100));
    }
}

// Guards against upstreams of a platform without a stated interval that are lost at once, and
// against a node that ends itself on an interval that can't be doubled.
#[test]
fn an_absent_or_an_endless_interval_has_a_timeout() {
    assert_eq!(Calls::default().announcement_timeout(), Duration::from_secs(5));
    let endless = Calls { announce_interval: Some(Duration::MAX), ..Calls::default() };
    assert_eq!(endless.announcement_timeout(), Duration::MAX);
}
