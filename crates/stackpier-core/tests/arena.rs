// SPDX-License-Identifier: Apache-2.0
//! Arenas: values that come and go, and what is counted and listed of them.

use stackpier_core::arena::Arena;

#[test]
fn an_arena_counts_and_lists_the_values_that_it_has() {
    let mut arena = Arena::default();
    assert!(arena.is_empty());
    let keys = ["first", "second", "third"].map(|value| arena.insert(value));
    assert_eq!(arena.remove(keys[1]), Some("second"));
    assert_eq!(arena.remove(keys[1]), None);
    assert_eq!(arena.len(), 2);
    let later = arena.insert("fourth");
    assert_eq!(arena.len(), arena.values().count());
    for (key, value) in arena.iter() {
        assert_eq!(arena.get(key), Some(value));
    }
    let listed: Vec<_> = arena.iter().map(|(key, _)| key).collect();
    assert_eq!(listed, [keys[0], later, keys[2]]);
}
