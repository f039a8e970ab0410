//! Weighs two ways to a floor with the platform out: the highest of k peers, and read quorums of
//! the column protocol (Jiang, "The Column Protocol", Information Systems 20(8), 1995, equations 3,
//! 7 and 8). Prints the table that the design page quotes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Nodes of the size to design for.
const NODES: usize = 930;
/// Size of each column; the paper advises 3 to 5.
const COLUMN: i32 = 3;
/// Changes of the configuration a day.
const CHANGES: f64 = 2_600.0;
/// Restarts a day.
const RESTARTS: f64 = 130.0;

/// Availability of read quorums, equation 3.
fn read_availability(p: f64) -> f64 {
    let columns = NODES as i32 / COLUMN;
    let (all, none) = (p.powi(COLUMN), (1.0 - p).powi(COLUMN));
    let limit = all / (all + none);
    (1.0 - all - none).powi(columns - 1) * (1.0 - none - limit) + limit
}

/// Expected sizes of read and write quorums, equations 7 and 8 at many columns.
fn quorum_size(p: f64) -> f64 {
    let f = p.powi(COLUMN);
    f64::from(COLUMN) + 1.0 / f - 1.0
}

/// Requests until `k` of many peers have answered, each up with probability `p`.
fn peer_requests(k: f64, p: f64) -> f64 {
    k / p
}

/// The share of restarted nodes whose floor is below what their predecessor served, when a version
/// is accepted and the platform goes out at once. Each node has the version after a lag drawn evenly
/// up to `spread_s`; a node that has it dies at a moment drawn evenly within the following
/// `life_s`, and its successor asks `k` peers a second later.
fn stale_share(k: usize, spread_s: f64, life_s: f64, seed: u64) -> f64 {
    const DRAWS: usize = 400_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let stale = (0..DRAWS).filter(|_| {
        let has_it = rng.random_range(0.0..spread_s);
        let asks = has_it + rng.random_range(0.0..life_s) + 1.0;
        (0..k).all(|_| rng.random_range(0.0..spread_s) > asks)
    });
    stale.count() as f64 / DRAWS as f64
}

/// The share of herds after which a column that a write filled is empty: all of its replicas
/// restarted without memory, so that a read quorum of it would tell an older version.
fn lost_column_share(herd: f64) -> f64 {
    herd.powi(COLUMN)
}

#[test]
fn peers_are_as_available_and_cheaper() {
    println!("p      column: read availability, size   5 peers: requests");
    for p in [0.7, 0.9, 0.99, 0.999] {
        let (availability, size) = (read_availability(p), quorum_size(p));
        let requests = peer_requests(5.0, p);
        println!("{p:<6} {availability:>25.6} {size:>6.2} {requests:>18.2}");
        assert!(availability < 1.0);
    }
    let column = CHANGES * quorum_size(0.99) + RESTARTS * quorum_size(0.99);
    let peers = RESTARTS * peer_requests(5.0, 0.99);
    println!("messages a day: column {column:.0}, 5 peers {peers:.0}");
    println!("column emptied by a herd of 30%: {:.4}", lost_column_share(0.3));
    assert!(peers < column);
}

#[test]
fn few_peers_leave_little_staleness() {
    println!("k   spread 2 s   spread 14 s   (share of stale floors, change every 33 s)");
    let mut last = 1.0;
    for k in [1, 2, 3, 5, 8] {
        let (quick, slow) = (stale_share(k, 2.0, 33.0, 1), stale_share(k, 14.0, 33.0, 2));
        println!("{k:<3} {quick:>10.5} {slow:>13.5}");
        assert!(slow <= last);
        last = slow;
    }
}
