//! Streaming estimates of a distribution that forget old samples.

/// Buckets for each doubling of the value.
const STEPS_PER_OCTAVE: usize = 4;
/// Buckets; they reach beyond 2^32 µs, more than an hour.
const BUCKETS: usize = 33 * STEPS_PER_OCTAVE;
/// Weight at which all samples are halved, so that old ones fade.
const HALVE_AT: f64 = 64.0;

/// A fading histogram with logarithmic buckets, exact to about a fifth.
#[derive(Clone, Debug)]
pub struct Quantiles {
    buckets: Vec<f64>,
    total: f64,
    sum_us: f64,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; BUCKETS],
            total: 0.0,
            sum_us: 0.0,
        }
    }
}

impl Quantiles {
    /// Adds a sample, in µs.
    pub fn record(&mut self, value_us: u64) {
        if self.total >= HALVE_AT {
            self.buckets.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total /= 2.0;
            self.sum_us /= 2.0;
        }
        self.buckets[bucket(value_us)] += 1.0;
        self.total += 1.0;
        self.sum_us += value_us as f64;
    }

    /// Tells whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.total < 1.0
    }

    /// Returns the weight of the samples kept.
    pub fn weight(&self) -> f64 {
        self.total
    }

    /// Returns the mean, in µs.
    pub fn mean_us(&self) -> Option<u64> {
        (!self.is_empty()).then(|| (self.sum_us / self.total) as u64)
    }

    /// Returns the value that `percent` of the samples stay under, in µs.
    pub fn quantile_us(&self, percent: u32) -> Option<u64> {
        if self.is_empty() {
            return None;
        }
        let wanted = self.total * f64::from(percent) / 100.0;
        let mut seen = 0.0;
        for (index, weight) in self.buckets.iter().enumerate() {
            seen += weight;
            if seen >= wanted && *weight > 0.0 {
                return Some(upper_edge_us(index));
            }
        }
        Some(upper_edge_us(BUCKETS - 1))
    }
}

fn bucket(value_us: u64) -> usize {
    let value = value_us.max(1) as f64;
    ((value.log2() * STEPS_PER_OCTAVE as f64) as usize).min(BUCKETS - 1)
}

fn upper_edge_us(index: usize) -> u64 {
    2f64.powf((index + 1) as f64 / STEPS_PER_OCTAVE as f64) as u64
}
