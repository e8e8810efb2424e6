// SPDX-License-Identifier: Apache-2.0
//! An arena that gives each of its values a small `Copy` index.

use std::{
    cmp::Ordering,
    fmt,
    hash::{Hash, Hasher},
    marker::PhantomData,
};

/// Index refers to a value in an arena of `T`. It is valid for the arena that
/// returned it, until the value is removed. Indices are ordered by when their
/// values were inserted.
pub struct Index<T> {
    serial: u32,
    slot: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Index<T> {
    /// serial returns how many values the arena had got before this one, modulo 2^32.
    pub fn serial(self) -> u32 {
        self.serial
    }
}

impl<T> fmt::Debug for Index<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.serial, self.slot)
    }
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
            serial: 0,
            slot: 0,
            kind: PhantomData,
        }
    }
}

impl<T> PartialEq for Index<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Index<T> {}

impl<T> PartialOrd for Index<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Index<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.serial, self.slot).cmp(&(other.serial, other.slot))
    }
}

impl<T> Hash for Index<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.serial.hash(state);
        self.slot.hash(state);
    }
}

/// Arena stores values in slots and reuses the slots of removed values. Each
/// value has a serial number, so that the index of a removed value does not
/// refer to the next value in its slot.
#[derive(Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    next_serial: u32,
}

#[derive(Debug)]
struct Slot<T> {
    /// The serial number of the value, or of the one that was removed last.
    serial: u32,
    value: Option<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena {
            slots: Vec::new(),
            free: Vec::new(),
            next_serial: 0,
        }
    }
}

impl<T> Arena<T> {
    /// insert stores a value and returns its index.
    pub fn insert(&mut self, value: T) -> Index<T> {
        let serial = self.next_serial;
        self.next_serial = serial.wrapping_add(1);
        let value = Slot {
            serial,
            value: Some(value),
        };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = value;
                slot
            }
            None => {
                self.slots.push(value);
                (self.slots.len() - 1) as u32
            }
        };
        Index {
            serial,
            slot,
            kind: PhantomData,
        }
    }

    /// get returns the value, or `None` if it has been removed.
    pub fn get(&self, index: Index<T>) -> Option<&T> {
        let slot = self.slots.get(index.slot as usize)?;
        (slot.serial == index.serial)
            .then_some(slot.value.as_ref())
            .flatten()
    }

    /// get_mut returns the value as mutable, or `None` if it has been removed.
    pub fn get_mut(&mut self, index: Index<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(index.slot as usize)?;
        (slot.serial == index.serial)
            .then_some(slot.value.as_mut())
            .flatten()
    }

    /// remove removes and returns the value, or returns `None` if it has already
    /// been removed.
    pub fn remove(&mut self, index: Index<T>) -> Option<T> {
        let slot = self.slots.get_mut(index.slot as usize)?;
        if slot.serial != index.serial {
            return None;
        }
        let value = slot.value.take()?;
        self.free.push(index.slot);
        Some(value)
    }

    /// iter returns all values in the arena with their indices, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Index<T>, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, entry)| {
            let index = Index {
                serial: entry.serial,
                slot: slot as u32,
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
