//! Addresses of experiments.

use load::{CALL_PORT, Network};

/// Guards against two experiments that take each other's processes for their own.
#[test]
fn reserve_no_address_twice() {
    let networks: Vec<_> = (0..3).map(|_| Network::reserve(7).unwrap()).collect();
    let address = |network: &Network| network.address(1, 1, CALL_PORT);
    assert_ne!(address(&networks[0]), address(&networks[1]));
    assert_ne!(address(&networks[1]), address(&networks[2]));
    assert_ne!(address(&networks[0]), address(&networks[2]));
}
