//! A generational arena addressed by small `Copy` keys.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// The key of one value in an [`Arena`]. Once the value is removed, the key resolves to nothing,
/// even if its slot holds another value.
pub struct Key<T> {
    index: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// Creates the key of a slot that no arena has given out, for values that are kept elsewhere, as in a
    /// simulation.
    pub fn from_index(index: u32) -> Self {
        Key {
            index,
            generation: 0,
            marker: PhantomData,
        }
    }

    /// Returns the slot index. Indexes are dense, so that they can index a parallel table.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.index, self.generation) == (other.index, other.generation)
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index.hash(state);
        self.generation.hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}.{}", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Stores values in slots; the slot of a removed value is reused. `M` marks the keys, where crates that don't
/// know the values hold them.
#[derive(Clone, Debug)]
pub struct Arena<T, M = T> {
    slots: Vec<Slot<T>>,
    free_slots: Vec<u32>,
    marker: PhantomData<fn() -> M>,
}

impl<T, M> Default for Arena<T, M> {
    fn default() -> Self {
        Arena {
            slots: Vec::new(),
            free_slots: Vec::new(),
            marker: PhantomData,
        }
    }
}

impl<T> Arena<T> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self::default()
    }
}

impl<T, M> Arena<T, M> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key<M> {
        if let Some(index) = self.free_slots.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return Key {
                index,
                generation: slot.generation,
                marker: PhantomData,
            };
        }
        let index = self.slots.len() as u32;
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        Key {
            index,
            generation: 0,
            marker: PhantomData,
        }
    }

    /// Removes and returns the value of a key.
    pub fn remove(&mut self, key: Key<M>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_slots.push(key.index);
        Some(value)
    }

    /// Returns a reference to the value of a key.
    pub fn get(&self, key: Key<M>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: Key<M>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_mut()
    }

    /// Returns the number of stored values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Returns whether the arena holds no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns an iterator over mutable references to all values, in slot order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().filter_map(|s| s.value.as_mut())
    }

    /// Returns an iterator over all values and their keys, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<M>, &T)> {
        self.slots.iter().enumerate().filter_map(|(i, slot)| {
            let key = Key {
                index: i as u32,
                generation: slot.generation,
                marker: PhantomData,
            };
            slot.value.as_ref().map(|value| (key, value))
        })
    }
}
