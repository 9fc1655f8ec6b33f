//! Tests that the tournament tree always returns the candidate with the smallest key.

use lagoonproxy::tournament_tree::TournamentTree;
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    #[test]
    fn test_best_is_smallest_key(changes in vec((0usize..37, proptest::option::of(0u32..50)), 1..200)) {
        let mut tree = TournamentTree::new(37);
        let mut keys = [f64::INFINITY; 37];
        for (candidate, key) in changes {
            let key = key.map_or(f64::INFINITY, f64::from);
            tree.set(candidate, key);
            keys[candidate] = key;
            let least = keys.iter().copied().fold(f64::INFINITY, f64::min);
            let expected = keys.iter().position(|key| key.is_finite() && *key == least);
            prop_assert_eq!(tree.best(), expected);
        }
    }
}

#[test]
fn test_best_of_none() {
    assert_eq!(TournamentTree::default().best(), None);
    assert_eq!(TournamentTree::new(0).best(), None);
    assert_eq!(TournamentTree::new(5).best(), None);
}
