//! Streaming estimates of a distribution in which old samples decay.

/// Buckets for each doubling of the value.
const BUCKETS_PER_OCTAVE: usize = 4;
/// Number of buckets; they cover more than 2^32 µs, which is more than an hour.
const BUCKET_COUNT: usize = 33 * BUCKETS_PER_OCTAVE;
/// Weight at which all samples are halved, so that old ones decay.
const HALVE_AT_WEIGHT: f64 = 64.0;

/// A decaying histogram with logarithmic buckets, accurate to about a fifth.
#[derive(Clone, Debug)]
pub struct Quantiles {
    buckets: Vec<f64>,
    total_weight: f64,
    sum_us: f64,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            buckets: vec![0.0; BUCKET_COUNT],
            total_weight: 0.0,
            sum_us: 0.0,
        }
    }
}

impl Quantiles {
    /// Adds a sample, in µs.
    pub fn record(&mut self, value_us: u64) {
        if self.total_weight >= HALVE_AT_WEIGHT {
            self.buckets.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total_weight /= 2.0;
            self.sum_us /= 2.0;
        }
        self.buckets[bucket_index(value_us)] += 1.0;
        self.total_weight += 1.0;
        self.sum_us += value_us as f64;
    }

    /// Returns whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.total_weight < 1.0
    }

    /// Returns the total weight of the samples.
    pub fn weight(&self) -> f64 {
        self.total_weight
    }

    /// Returns the mean, in µs.
    pub fn mean_us(&self) -> Option<u64> {
        (!self.is_empty()).then(|| (self.sum_us / self.total_weight) as u64)
    }

    /// Returns the value below which `percent` of the samples are, in µs.
    pub fn quantile_us(&self, percent: u32) -> Option<u64> {
        if self.is_empty() {
            return None;
        }
        let target_weight = self.total_weight * f64::from(percent) / 100.0;
        let mut cumulative_weight = 0.0;
        for (index, weight) in self.buckets.iter().enumerate() {
            cumulative_weight += weight;
            if cumulative_weight >= target_weight && *weight > 0.0 {
                return Some(upper_edge_us(index));
            }
        }
        Some(upper_edge_us(BUCKET_COUNT - 1))
    }
}

fn bucket_index(value_us: u64) -> usize {
    let value = value_us.max(1) as f64;
    ((value.log2() * BUCKETS_PER_OCTAVE as f64) as usize).min(BUCKET_COUNT - 1)
}

fn upper_edge_us(index: usize) -> u64 {
    2f64.powf((index + 1) as f64 / BUCKETS_PER_OCTAVE as f64) as u64
}
