// SPDX-License-Identifier: Apache-2.0
//! An arena that gives each of its values a small `Copy` index.

use std::{
    hash::{Hash, Hasher},
    marker::PhantomData,
};

/// Index refers to a value in an arena of `T`. It is valid for the arena that
/// returned it, until the value is removed.
#[derive(Debug)]
pub struct Index<T> {
    slot: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Clone for Index<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Index<T> {}

impl<T> Default for Index<T> {
    /// default returns the index of the first value that is inserted into an
    /// arena.
    fn default() -> Self {
        Index {
            slot: 0,
            generation: 0,
            kind: PhantomData,
        }
    }
}

impl<T> PartialEq for Index<T> {
    fn eq(&self, other: &Self) -> bool {
        self.slot == other.slot && self.generation == other.generation
    }
}

impl<T> Eq for Index<T> {}

impl<T> Hash for Index<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.slot.hash(state);
        self.generation.hash(state);
    }
}

/// Arena stores values in slots and reuses the slots of removed values. Each
/// slot has a generation that every removal increments, so that the index of a
/// removed value does not refer to the next value in its slot.
#[derive(Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// insert stores a value and returns its index.
    pub fn insert(&mut self, value: T) -> Index<T> {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                value: None,
            });
            (self.slots.len() - 1) as u32
        });
        let entry = &mut self.slots[slot as usize];
        entry.value = Some(value);
        Index {
            slot,
            generation: entry.generation,
            kind: PhantomData,
        }
    }

    /// get returns the value, or `None` if it has been removed.
    pub fn get(&self, index: Index<T>) -> Option<&T> {
        let slot = self.slots.get(index.slot as usize)?;
        (slot.generation == index.generation)
            .then_some(slot.value.as_ref())
            .flatten()
    }

    /// get_mut returns the value as mutable, or `None` if it has been removed.
    pub fn get_mut(&mut self, index: Index<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(index.slot as usize)?;
        (slot.generation == index.generation)
            .then_some(slot.value.as_mut())
            .flatten()
    }

    /// remove removes and returns the value, or returns `None` if it has already
    /// been removed.
    pub fn remove(&mut self, index: Index<T>) -> Option<T> {
        let slot = self.slots.get_mut(index.slot as usize)?;
        if slot.generation != index.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(index.slot);
        Some(value)
    }

    /// iter returns all values in the arena with their indices, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Index<T>, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, entry)| {
            let index = Index {
                slot: slot as u32,
                generation: entry.generation,
                kind: PhantomData,
            };
            Some((index, entry.value.as_ref()?))
        })
    }

    /// len returns the number of values in the arena.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// is_empty reports whether the arena has no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// values returns all values in the arena, in slot order.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.value.as_ref())
    }
}
