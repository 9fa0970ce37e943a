//! Layout of the servers of a failure domain that are to load layers.
//!
//! The greedy plan counts holders, whatever room these have, so that a layer with one small holder can
//! limit the requests of its whole domain. Here the ranges of that plan are changed one server after
//! the other, until none gains by a change: first each layer gets a holder, then room for the needed
//! requests, then a second holder. Servers that hold layers stay as they are.
//!
//! With a start from whole rows side by side instead of the greedy plan, requests of B took 1,586 ms
//! instead of 1,362 (simulated).

use mustard_core::collections::Map;
use mustard_core::deployment::Engine;
use mustard_core::ids::Layers;

use super::capacity::{CapacityServer, Flow, max_flow, request_layer_mb};
use super::placement::{LayerAssignment, MIN_REQUEST_SHARE};

/// The value of a layer's first holder in the domain; more than all other values of 90 layers together.
const HOLDER_VALUE: f64 = 100_000.0;
/// The value of room for all requests that the domain needs at a layer's holders. It is larger than
/// that of a second holder: with 150, 0.10 of the attempts on A were refused for lack of room after the
/// loss of eight servers (simulated), with 450 0.01.
const ROOM_VALUE: f64 = 450.0;
/// The further value once there is room for all of them.
const ENOUGH_VALUE: f64 = 80.0;
/// The value of a layer's second holder, apart from its room.
const SECOND_VALUE: f64 = 250.0;
/// The value of a layer's third holder, apart from its room.
const THIRD_VALUE: f64 = 30.0;
/// The value of room for all requests that the domain needs once the holder with the most room is
/// lost. With 300, fewer attempts were refused (simulated), but a domain of B had 59 layers with a fast
/// holder (60 before), and the rest of a plan that was begun on A had room for 119 of 177 requests.
const SPARE_VALUE: f64 = 60.0;
/// The value of a holder without any delay in place of the slowest one. Paths prefer fast servers, so
/// that a second fast holder gains less than the first.
const SPEED_VALUE: f64 = 60.0;
/// The least share of the layers that fit at a server that it is given; the memory of the others is
/// used for requests.
const MIN_LAYERS_SHARE: f64 = 0.8;
/// The most times that the range of each server is chosen anew. More than three made no difference at
/// the size of A and B. With 0, the ranges of the greedy plan stay.
const MAX_ROUNDS: usize = 3;
/// The most changes of ranges that hold the layer that limits the requests.
const MAX_WIDENINGS: usize = 12;
/// The least gain for which a range is changed.
const MIN_GAIN: f64 = 1e-6;

/// Improves the ranges of `orders`, which are for servers without layers, in each failure domain.
pub(super) fn improve_orders(
    engine: &Engine,
    servers: &[CapacityServer],
    needed: f64,
    orders: &mut [LayerAssignment],
) {
    let domains = servers.iter().map(|s| s.server.domain + 1).max();
    let positions = orders.iter().enumerate().map(|(i, o)| (o.index, i));
    let positions: Map<usize, usize> = positions.collect();
    for domain in 0..domains.unwrap_or(0) {
        let to_slot = |server: &CapacityServer, speed: f64| {
            let order = positions.get(&server.server.index).copied();
            let layers = order.map(|o| orders[o].layers).or(server.server.held)?;
            Some(Slot {
                layers: Layers::new(layers.first, layers.end.min(engine.layers)),
                memory_mb: server.server.memory_mb,
                speed,
                order,
            })
        };
        let mut layout = Layout::new(engine, servers, needed, domain, to_slot);
        layout.improve();
        layout.widen_bottleneck();
        for slot in &layout.slots {
            if let Some(order) = slot.order {
                orders[order].layers = slot.layers;
            }
        }
    }
}

/// A server of a domain with the layers that it holds or is to load.
#[derive(Clone, Copy, Debug)]
struct Slot {
    layers: Layers,
    memory_mb: f64,
    /// How fast it is: zero for the slowest accelerator, close to one for one that takes no time.
    speed: f64,
    /// The position of its order; `None` if it holds its layers already.
    order: Option<usize>,
}

/// What the holders of one layer offer.
#[derive(Clone, Copy, Debug, Default)]
struct LayerState {
    holders: u32,
    /// The sum of the holders' rooms, in requests.
    room: f64,
    /// The largest room of one holder.
    largest: f64,
    /// The speed of the fastest holder.
    speed: f64,
}

impl LayerState {
    fn with(self, room: f64, speed: f64) -> Self {
        LayerState {
            holders: self.holders + 1,
            room: self.room + room,
            largest: self.largest.max(room),
            speed: self.speed.max(speed),
        }
    }

    fn value(&self, needed: f64) -> f64 {
        if self.holders == 0 {
            return 0.0;
        }
        let share = |room: f64| (room / needed).min(1.0);
        let mut value = HOLDER_VALUE + ROOM_VALUE * share(self.room);
        if self.room >= needed {
            value += ENOUGH_VALUE;
        }
        if self.holders > 1 {
            value += SECOND_VALUE;
        }
        if self.holders > 2 {
            value += THIRD_VALUE;
        }
        value + SPARE_VALUE * share(self.room - self.largest) + SPEED_VALUE * self.speed
    }
}

/// The layers of one failure domain and the servers that hold or load them.
struct Layout {
    needed: f64,
    layer_count: u32,
    layer_mb: f64,
    request_mb: f64,
    slots: Vec<Slot>,
}

impl Layout {
    fn new(
        engine: &Engine,
        servers: &[CapacityServer],
        needed: f64,
        domain: u32,
        to_slot: impl Fn(&CapacityServer, f64) -> Option<Slot>,
    ) -> Self {
        let slowness = |s: &CapacityServer| {
            let prompt_ms = engine.mean_prompt / engine.step_time.prompt_rate.max(1.0) * 1e3;
            let answer_ms = engine.mean_answer * engine.step_time.base_ms;
            prompt_ms * s.prompt_factor + answer_ms * s.server.step_factor
        };
        let slowest = servers.iter().map(slowness).fold(0.0, f64::max);
        let in_domain = |s: &&CapacityServer| s.server.is_staying && s.server.domain == domain;
        let speed = |s: &CapacityServer| 1.0 - slowness(s) / slowest.max(f64::MIN_POSITIVE);
        let slots = servers.iter().filter(in_domain);
        let slots = slots.filter_map(|s| to_slot(s, speed(s)));
        Layout {
            needed: needed.max(1.0),
            layer_count: engine.layers,
            layer_mb: engine.layer_mb,
            request_mb: request_layer_mb(engine),
            slots: slots.filter(|s| !s.layers.is_empty()).collect(),
        }
    }

    /// Returns the requests for which a server that holds `layers` layers has room in each of them.
    fn room(&self, slot: &Slot, layers: u32) -> f64 {
        let free_mb = slot.memory_mb - f64::from(layers) * self.layer_mb;
        free_mb.max(0.0) / f64::from(layers.max(1)) / self.request_mb
    }

    /// Returns the most layers that a server takes, so that the least share for requests is left.
    fn max_layers(&self, slot: &Slot) -> u32 {
        let memory_mb = slot.memory_mb * (1.0 - MIN_REQUEST_SHARE);
        let count = memory_mb / self.layer_mb.max(f64::MIN_POSITIVE);
        (count as u32).min(self.layer_count)
    }

    /// Returns what the holders of each layer offer, without one of the servers.
    fn states(&self, left_out: Option<usize>) -> Vec<LayerState> {
        let mut states = vec![LayerState::default(); self.layer_count as usize];
        for (i, slot) in self.slots.iter().enumerate() {
            if Some(i) == left_out {
                continue;
            }
            let room = self.room(slot, slot.layers.count());
            for state in &mut states[indices(slot.layers)] {
                *state = state.with(room, slot.speed);
            }
        }
        states
    }

    /// Changes the range of each server that is to load layers to the one that is worth most, until
    /// none changes.
    fn improve(&mut self) {
        let mut open: Vec<usize> = (0..self.slots.len()).collect();
        open.retain(|&i| self.slots[i].order.is_some());
        // The orders begin with the servers that have the most memory.
        open.sort_by_key(|&i| self.slots[i].order);
        // Servers in turn whose range was the best one already.
        let mut unchanged = 0;
        for &i in open.iter().cycle().take(open.len() * MAX_ROUNDS) {
            if unchanged == open.len() {
                break;
            }
            unchanged += 1;
            if let Some(layers) = self.better_range(i) {
                self.slots[i].layers = layers;
                unchanged = 0;
            }
        }
    }

    /// Returns the range that is worth most at one server, if it is worth more than its present one.
    fn better_range(&self, index: usize) -> Option<Layers> {
        let slot = &self.slots[index];
        let states = self.states(Some(index));
        let base: Vec<f64> = states.iter().map(|s| s.value(self.needed)).collect();
        let gains = |count: u32| {
            let room = self.room(slot, count);
            let gain = |(state, base): (&LayerState, &f64)| {
                state.with(room, slot.speed).value(self.needed) - base
            };
            states.iter().zip(&base).map(gain).collect::<Vec<f64>>()
        };
        let held_room = self.room(slot, slot.layers.count());
        let held = indices(slot.layers).map(|l| {
            let state = states[l].with(held_room, slot.speed);
            state.value(self.needed) - base[l]
        });
        let mut highest: f64 = held.sum();
        let mut best = None;
        let most = self.max_layers(slot);
        let least = (f64::from(most) * MIN_LAYERS_SHARE).ceil() as u32;
        for count in (least.max(1)..=most).rev() {
            let gains = gains(count);
            let size = count as usize;
            let mut value: f64 = gains[..size].iter().sum();
            for first in 0..=gains.len() - size {
                if first > 0 {
                    value += gains[first + size - 1] - gains[first - 1];
                }
                if value > highest + MIN_GAIN {
                    highest = value;
                    best = Some(Layers::new(first as u32, first as u32 + count));
                }
            }
        }
        best
    }

    /// Changes the ranges of servers that hold a layer that limits the requests, until the domain has
    /// room for those that it needs. A server's room can be used for any of its layers, which the
    /// values of single layers don't show.
    fn widen_bottleneck(&mut self) {
        if self.slots.iter().all(|s| s.order.is_none()) {
            return;
        }
        for _ in 0..MAX_WIDENINGS {
            let flow = self.flow();
            // Without a holder of each layer there is no flow that a range could widen.
            if flow.value >= self.needed || flow.value <= 0.0 {
                return;
            }
            let mut best: Option<(f64, usize, Layers)> = None;
            for i in 0..self.slots.len() {
                let slot = self.slots[i];
                let holds =
                    slot.layers.first <= flow.bottleneck && flow.bottleneck < slot.layers.end;
                if slot.order.is_none() || !holds {
                    continue;
                }
                for layers in neighbors(slot.layers, self.layer_count) {
                    self.slots[i].layers = layers;
                    if self.flow().value > flow.value * (1.0 + MIN_GAIN) {
                        let values = self.states(None);
                        let value = values.iter().map(|s| s.value(self.needed)).sum();
                        if best.is_none_or(|(v, ..)| value > v) {
                            best = Some((value, i, layers));
                        }
                    }
                }
                self.slots[i].layers = slot.layers;
            }
            let Some((_, i, layers)) = best else {
                return;
            };
            self.slots[i].layers = layers;
        }
    }

    /// Returns the most requests that the memory of the domain holds at the same time.
    fn flow(&self) -> Flow {
        let capacity = |slot: &Slot| {
            let count = slot.layers.count();
            (slot.layers, self.room(slot, count) * f64::from(count))
        };
        let holders: Vec<_> = self.slots.iter().map(capacity).collect();
        max_flow(self.layer_count, &holders)
    }
}

fn indices(layers: Layers) -> std::ops::Range<usize> {
    layers.first as usize..layers.end as usize
}

/// Returns the ranges that are one layer smaller or start one layer further.
fn neighbors(held: Layers, layers: u32) -> impl Iterator<Item = Layers> {
    let Layers { first, end } = held;
    let ranges = [
        (first + 1, end),
        (first, end.saturating_sub(1)),
        (first + 1, end + 1),
        (first.wrapping_sub(1), end.saturating_sub(1)),
    ];
    let valid = move |r: &(u32, u32)| r.0 < r.1 && r.1 <= layers;
    let valid = ranges.into_iter().filter(valid);
    valid.map(|(first, end)| Layers::new(first, end))
}
