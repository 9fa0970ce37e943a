//! The servers of a group that chains go on from.

use super::chain::Node;

/// The most servers of one failure domain that a group hands on to the next layers.
const DOMAIN_BEAM: usize = 4;

/// The best nodes of one failure domain, best first.
#[derive(Debug)]
struct Beam {
    domain: u16,
    best: [usize; DOMAIN_BEAM],
    len: usize,
}

impl Beam {
    fn insert(&mut self, nodes: &[Node], i: usize) {
        let cost = |at: usize| nodes[at].cost;
        if self.len == DOMAIN_BEAM && cost(i) >= cost(self.best[DOMAIN_BEAM - 1]) {
            return;
        }
        self.len = (self.len + 1).min(DOMAIN_BEAM);
        let mut place = self.len - 1;
        while place > 0 && cost(i) < cost(self.best[place - 1]) {
            self.best[place] = self.best[place - 1];
            place -= 1;
        }
        self.best[place] = i;
    }
}

/// Marks the best nodes of a group, some of each failure domain, for chains to continue.
pub(super) fn keep_best(nodes: &[Node], begin: usize, kept: &mut Vec<usize>) {
    let mut beams: Vec<Beam> = Vec::new();
    for (i, node) in nodes.iter().enumerate().skip(begin) {
        let at = beams.iter().position(|b| b.domain == node.domain);
        let at = at.unwrap_or_else(|| {
            beams.push(Beam {
                domain: node.domain,
                best: [0; DOMAIN_BEAM],
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
