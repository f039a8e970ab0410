//! A node that comes back from a cut after the deadline.

mod support;
mod town;

use town::Town;

/// Seconds of a cut that begins in the watch period and outlasts the deadline.
const CUT_S: u64 = 400;

/// The others cleared the watch period at 450 s, so what n1 missed is no reason to take back. The cut
/// ends at each phase of n1's tries to record an outcome.
#[test]
fn a_node_back_from_a_cut_learns_the_proof_before_it_ends_the_move() {
    for extra in 0..3 {
        let names = |text: &str| text.split(' ').map(str::to_owned).collect::<Vec<_>>();
        let mut town = Town::new(&names("n1-east n2 n3"), &names("o1 o2"));
        town.wait(400);
        town.cut("east", true);
        let told = town.wait(CUT_S + extra);
        assert!(told.contains("n2 clears step 4"), "{told}");
        town.heal();
        let told = town.wait(5);
        assert!(!told.contains("records TakenBack"), "after {} s:\n{told}", CUT_S + extra);
        assert!(told.contains("records Done"), "after {} s:\n{told}", CUT_S + extra);
    }
}
