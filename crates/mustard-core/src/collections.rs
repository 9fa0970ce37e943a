//! Hash collections with a fast, non-cryptographic hasher.

use std::collections::{HashMap, HashSet};
use std::hash::BuildHasherDefault;

use rustc_hash::FxHasher;

/// A hash map for keys that are trusted or bounded in number; the hasher doesn't resist keys that
/// are chosen to collide.
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// A hash set for keys that are trusted or bounded in number, as for [`Map`].
pub type Set<K> = HashSet<K, BuildHasherDefault<FxHasher>>;
