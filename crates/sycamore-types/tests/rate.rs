//! Tests of reading rate limits.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Guards against a value that no upstream can mean being taken as a limit, or as the end of one.
#[test]
fn values_that_are_no_rate_are_rejected() {
    for text in ["", " ", "-1", "-0.5", "nan", "NaN", "inf", "-inf", "1e30", "1000001", "18,4"] {
        assert!(text.parse::<RateLimit>().is_err(), "{text:?} was accepted");
    }
    for (text, rate) in [("18.4", 18.4), (" 0.25 ", 0.25), ("0", 0.0), ("1e3", 1_000.0)] {
        assert_eq!(text.parse::<RateLimit>().map(RateLimit::per_second), Ok(rate), "{text:?}");
    }
}

/// Guards against an endless or overflowing interval of a limit near zero.
#[test]
fn the_interval_of_a_low_rate_is_bounded() {
    let interval = |text: &str| {
        let limit: RateLimit = text.parse().expect("a rate limit");
        limit.interval(Duration::from_secs(2))
    };
    assert_eq!(interval("20"), Duration::from_millis(50));
    assert_eq!(interval("0.5"), Duration::from_secs(2));
    for text in ["0.0001", "1e-300", "0", "-0"] {
        assert_eq!(interval(text), Duration::from_secs(2), "{text}");
    }
}
