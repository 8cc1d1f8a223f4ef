//! Distribution of a route's requests over its services.

use super::Route;

/// Smooth weighted round robin over the services of one route.
///
/// Each service gets its exact share of every `n` requests, where `n` is the sum of the weights.
/// In between its share may deviate; tests with up to three services check that it stays within two
/// requests.
#[derive(Clone, Debug)]
pub struct Split {
    weights: Vec<i64>,
    credit: Vec<i64>,
}

impl Split {
    /// Creates the distribution for `route` and skips its first `phase` choices, modulo the sum of
    /// the weights, so that nodes with different phases need not choose the same service at the
    /// same time.
    pub fn new(route: &Route, phase: u64) -> Self {
        let weights: Vec<i64> = route.backends.iter().map(|b| i64::from(b.weight)).collect();
        let total: i64 = weights.iter().sum();
        let mut split = Self {
            credit: vec![0; weights.len()],
            weights,
        };
        for _ in 0..phase.checked_rem(total.max(1) as u64).unwrap_or(0) {
            split.next_index();
        }
        split
    }

    /// Returns the index of the service that gets the next request.
    pub fn next_index(&mut self) -> usize {
        let total: i64 = self.weights.iter().sum();
        let mut best = 0;
        for i in 0..self.weights.len() {
            self.credit[i] += self.weights[i];
            if self.credit[i] > self.credit[best] {
                best = i;
            }
        }
        if let Some(credit) = self.credit.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
