//! Test of a node whose network partition ends after the move's deadline.

mod support;
mod town;

use town::SimulatedService;

/// Length of a partition that begins in the watch period and outlasts the deadline, in seconds.
const PARTITION_S: u64 = 400;

/// The other nodes clear the watch period at 450 s while n1 is partitioned off with its platform.
/// At the end of the partition n1 must not record a timeout before it learns of that. The partition
/// ends at each phase of n1's attempts to record an outcome.
#[test]
fn a_node_back_from_a_cut_learns_the_proof_before_it_ends_the_move() {
    for extra in 0..3 {
        let names = |text: &str| text.split(' ').map(str::to_owned).collect::<Vec<_>>();
        let mut service = SimulatedService::new(&names("n1-east n2 n3"), &names("o1 o2"));
        service.wait(400);
        service.partition("east", true);
        let log = service.wait(PARTITION_S + extra);
        assert!(log.contains("n2 clears step 4"), "{log}");
        service.end_partition();
        let log = service.wait(5);
        assert!(!log.contains("records TakenBack"), "after {} s:\n{log}", PARTITION_S + extra);
        assert!(log.contains("records Done"), "after {} s:\n{log}", PARTITION_S + extra);
    }
}
