//! Decides how many engines of a service are in use.
//!
//! Where a service has far more engines than its requests need, distributing sessions over all of
//! them makes nearly every engine process the shared prompt parts again: 6,000 engines that share
//! 165 long prompts a second receive one each in 36 s. So only as many engines are in use as
//! process the observed prompts while mostly idle; the others are reserves, which a request
//! reaches when those in use are loaded, fail or leave.
//!
//! Each instance estimates the demand from its own requests and the number of instances that
//! share the engines. Estimates differ, but the engines in use are always the first ones of the
//! same order, so different instances mostly use the same engines.

use std::collections::HashMap;

use super::placement::PROMPT_TOKENS_PER_MS;
use crate::ids::PoolName;

/// Share of their time in which engines in use process prompts. A prompt of 100 ms then waits
/// for another one in one of ten cases, and for 10 ms in the mean.
const TARGET_UTILIZATION: f64 = 0.1;
/// Time constant of the estimate, in ms: long enough for some requests of an instance that sends
/// one in two seconds.
const TIME_CONSTANT_MS: f64 = 15_000.0;
/// Shortest time over which the first requests are averaged, in ms.
const MIN_OBSERVED_MS: f64 = 4_000.0;
/// Fewest engines in use, so that the loss of some leaves others with cached parts.
const MIN_IN_USE: usize = 16;
/// Factor by which the demand may exceed the number in use before more are put to use. Then
/// they process prompts in a seventh of their time.
const GROW_FACTOR: f64 = 1.4;
/// Share of the number in use below which fewer are used. The estimate of an instance that
/// sends little varies by a half, and with each change sessions move to other engines.
const SHRINK_FACTOR: f64 = 0.2;
/// Engines that are needed for each one in use; with fewer, all are in use.
const MIN_RESERVE_FACTOR: usize = 2;

/// Estimates the demand for engines from the prompts of this instance.
#[derive(Debug, Default)]
pub struct EngineDemand {
    /// Number of instances that use the same engines.
    instances: usize,
    by_service: HashMap<PoolName, PromptRate>,
}

/// Exponentially weighted rate of prompt tokens.
#[derive(Clone, Copy, Debug)]
struct PromptRate {
    since_ms: u64,
    updated_ms: u64,
    weighted_tokens: f64,
    /// Number of engines in use.
    engines: usize,
}

impl PromptRate {
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weighted_tokens *= (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.updated_ms = now_ms;
    }

    /// Returns the rate in tokens per ms.
    fn tokens_per_ms(mut self, now_ms: u64) -> f64 {
        self.decay(now_ms);
        let observed_ms = now_ms.saturating_sub(self.since_ms) as f64;
        let weight = 1.0 - (-observed_ms.max(MIN_OBSERVED_MS) / TIME_CONSTANT_MS).exp();
        self.weighted_tokens / (TIME_CONSTANT_MS * weight)
    }
}

impl EngineDemand {
    /// Sets the number of instances that use the same engines, this one included.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Records a prompt of `tokens` for an engine of `service`.
    pub(crate) fn on_prompt(&mut self, now_ms: u64, service: &PoolName, tokens: u32) {
        let rate = self
            .by_service
            .entry(service.clone())
            .or_insert(PromptRate {
                since_ms: now_ms,
                updated_ms: now_ms,
                weighted_tokens: 0.0,
                engines: 0,
            });
        rate.decay(now_ms);
        rate.weighted_tokens += f64::from(tokens);
        let tokens_per_ms = rate.tokens_per_ms(now_ms) * self.instances.max(1) as f64;
        let needed = tokens_per_ms / (PROMPT_TOKENS_PER_MS * TARGET_UTILIZATION);
        let engines = rate.engines as f64;
        if needed > engines * GROW_FACTOR || needed < engines * SHRINK_FACTOR {
            rate.engines = (needed.ceil() as usize).max(MIN_IN_USE).next_power_of_two();
        }
    }

    /// Returns how many of the `available` engines of `service` are in use. The number is a power
    /// of two, so that it rarely changes and mostly is the same for all instances.
    pub(crate) fn engines_in_use(&self, service: &PoolName, available: usize) -> usize {
        let rate = self.by_service.get(service);
        let engines = rate.map_or(available, |rate| rate.engines);
        match engines * MIN_RESERVE_FACTOR <= available {
            true => engines,
            false => available,
        }
    }
}
