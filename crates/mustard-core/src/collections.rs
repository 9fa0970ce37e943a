//! Hash collections with a fast, non-cryptographic hasher.

use std::collections::{HashMap, HashSet};
use std::hash::BuildHasherDefault;

use rustc_hash::FxHasher;

/// A hash map for trusted or bounded keys.
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// A hash set for trusted or bounded keys.
pub type Set<K> = HashSet<K, BuildHasherDefault<FxHasher>>;
