//! Beam search: limits how many chains continue from each group of servers.

use super::chain::Node;

/// The most chains that continue from one failure domain of a group.
const BEAM_WIDTH: usize = 4;

/// The cheapest nodes of one failure domain, the cheapest first.
#[derive(Debug)]
struct Beam {
    domain: u16,
    best: [usize; BEAM_WIDTH],
    len: usize,
}

impl Beam {
    fn insert(&mut self, nodes: &[Node], i: usize) {
        let cost = |at: usize| nodes[at].cost;
        if self.len == BEAM_WIDTH && cost(i) >= cost(self.best[BEAM_WIDTH - 1]) {
            return;
        }
        self.len = (self.len + 1).min(BEAM_WIDTH);
        let mut slot = self.len - 1;
        while slot > 0 && cost(i) < cost(self.best[slot - 1]) {
            self.best[slot] = self.best[slot - 1];
            slot -= 1;
        }
        self.best[slot] = i;
    }
}

/// Adds the cheapest nodes of each failure domain of a group to `kept`; the group's nodes start
/// at the index `begin`.
pub(super) fn keep_best(nodes: &[Node], begin: usize, kept: &mut Vec<usize>) {
    let mut beams: Vec<Beam> = Vec::new();
    for (i, node) in nodes.iter().enumerate().skip(begin) {
        let at = beams.iter().position(|b| b.domain == node.domain);
        let at = at.unwrap_or_else(|| {
            beams.push(Beam {
                domain: node.domain,
                best: [0; BEAM_WIDTH],
                len: 0,
            });
            beams.len() - 1
        });
        beams[at].insert(nodes, i);
    }
    for beam in &beams {
        kept.extend_from_slice(&beam.best[..beam.len]);
    }
}
