//! Comparison of two ways to determine the version floor during a platform outage: the highest head
//! of k peers, and read quorums of the column protocol (Jiang, "The Column Protocol", Information
//! Systems 20(8), 1995, equations 3, 7 and 8). Prints the table that the design page quotes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of nodes in the fleet that the system is designed for.
const NODES: usize = 930;
/// Replicas per column of the column protocol; Jiang advises 3 to 5.
const COLUMN_SIZE: i32 = 3;
/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 2_600.0;
/// Node restarts per day.
const RESTARTS_PER_DAY: f64 = 130.0;

/// Returns the availability of read quorums if each node is up with probability `p` (equation 3).
fn read_availability(p: f64) -> f64 {
    let columns = NODES as i32 / COLUMN_SIZE;
    let (all, none) = (p.powi(COLUMN_SIZE), (1.0 - p).powi(COLUMN_SIZE));
    let limit = all / (all + none);
    (1.0 - all - none).powi(columns - 1) * (1.0 - none - limit) + limit
}

/// Returns the expected size of read and write quorums (equations 7 and 8 for many columns).
fn quorum_size(p: f64) -> f64 {
    let f = p.powi(COLUMN_SIZE);
    f64::from(COLUMN_SIZE) + 1.0 / f - 1.0
}

/// Returns the expected requests until `k` peers have answered, each up with probability `p`.
fn peer_requests(k: f64, p: f64) -> f64 {
    k / p
}

/// Simulates the share of restarted nodes whose floor is below the version served before.
///
/// A version is accepted, and the platform fails at the same moment. Each node receives the version
/// after a uniform lag of up to `spread_s`, and restarts at a uniform time within the following
/// `life_s`. It asks `k` peers one second after that.
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

/// Returns the probability that a column loses a written version when the share `restarted` of all
/// nodes restarts at once: all of its replicas restart with empty memory, so that a read quorum of
/// that column returns an older version.
fn lost_column_probability(restarted: f64) -> f64 {
    restarted.powi(COLUMN_SIZE)
}

/// Guards the design choice: asking peers must cost fewer messages per day than column quorums.
#[test]
fn asking_peers_costs_fewer_messages_than_column_quorums() {
    println!("p      column: read availability, size   5 peers: requests");
    for p in [0.7, 0.9, 0.99, 0.999] {
        let (availability, size) = (read_availability(p), quorum_size(p));
        let requests = peer_requests(5.0, p);
        println!("{p:<6} {availability:>25.6} {size:>6.2} {requests:>18.2}");
        assert!(availability < 1.0);
    }
    let column = CHANGES_PER_DAY * quorum_size(0.99) + RESTARTS_PER_DAY * quorum_size(0.99);
    let peers = RESTARTS_PER_DAY * peer_requests(5.0, 0.99);
    println!("messages per day: column {column:.0}, 5 peers {peers:.0}");
    println!(
        "probability that a column is lost when 30% restart: {:.4}",
        lost_column_probability(0.3)
    );
    assert!(peers < column);
}

/// Guards the design choice: asking more peers must not increase the share of stale floors.
#[test]
fn more_peers_give_fewer_stale_floors() {
    println!("k   spread 2 s   spread 14 s   (share of stale floors, change every 33 s)");
    let mut last = 1.0;
    for k in [1, 2, 3, 5, 8] {
        let (short_spread, long_spread) =
            (stale_share(k, 2.0, 33.0, 1), stale_share(k, 14.0, 33.0, 2));
        println!("{k:<3} {short_spread:>10.5} {long_spread:>13.5}");
        assert!(long_spread <= last);
        last = long_spread;
    }
}
