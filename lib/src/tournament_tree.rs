//! Tournament tree that finds the candidate with the smallest key.
//!
//! A service may have thousands of upstreams whose keys change with every request, and a linear
//! search would read all of them for each choice. A key change replays only the path from its leaf
//! to the root, 13 comparisons for 5,000 candidates. The tree allocates only when it is built.

/// The keys of all candidates and the winner of each match.
#[derive(Clone, Debug, Default)]
pub struct TournamentTree {
    /// One key per candidate; infinite keys never win.
    keys: Vec<f64>,
    /// Winner of each match; node `n` compares nodes `2n` and `2n + 1`, and leaf `i` is node `width
    /// + i`. Invariant: node 1 holds the candidate with the smallest key.
    winners: Vec<u32>,
    /// Number of leaves, a power of two.
    width: usize,
}

impl TournamentTree {
    /// Creates a tree of `count` candidates, all with infinite keys.
    pub fn new(count: usize) -> Self {
        let width = count.next_power_of_two();
        let mut winners = vec![0; 2 * width];
        for leaf in 0..width {
            winners[width + leaf] = leaf as u32;
        }
        let mut tree = Self {
            keys: vec![f64::INFINITY; width],
            winners,
            width,
        };
        for node in (1..width).rev() {
            tree.replay(node);
        }
        tree
    }

    /// Sets the key of a candidate; `f64::INFINITY` excludes it.
    pub fn set(&mut self, candidate: usize, key: f64) {
        self.keys[candidate] = key;
        let mut node = (self.width + candidate) / 2;
        while node >= 1 {
            self.replay(node);
            node /= 2;
        }
    }

    /// Returns the key of a candidate.
    pub fn key(&self, candidate: usize) -> f64 {
        self.keys[candidate]
    }

    /// Returns the candidate with the smallest finite key, and the lower index among equal keys.
    pub fn best(&self) -> Option<usize> {
        let winner = *self.winners.get(1)? as usize;
        self.keys
            .get(winner)
            .is_some_and(|key| key.is_finite())
            .then_some(winner)
    }

    fn replay(&mut self, node: usize) {
        let left = self.winners[2 * node];
        let right = self.winners[2 * node + 1];
        let right_wins = self.keys[right as usize] < self.keys[left as usize];
        self.winners[node] = if right_wins { right } else { left };
    }
}
