//! Arrivals of a run, drawn before it so that every policy meets the same ones.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use savoryvane_core::objects::Pipeline;

use crate::{
    deployment::Deployment,
    scenario::{RUN_US, SECOND_US, Scenario},
};

/// Requests of prefixes beyond this rank are rare.
const PREFIX_SKEW: f64 = 2.0;

/// One request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time at which it reaches its instance, in µs.
    pub at_us: u64,
    /// Instance that the balancer gives it to, as an index.
    pub instance: usize,
    /// Workspace, as an index.
    pub workspace: usize,
    /// Pipeline.
    pub pipeline: Arc<Pipeline>,
    /// Shared prefix of its prompt, if any.
    pub prefix: Option<u64>,
    /// Whether it comes back after a refusal.
    pub is_return: bool,
}

/// Draws the arrivals of a run.
pub fn arrivals(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let full_rate = deployment.full_rate_per_s();
    let mut arrivals = Vec::new();
    for (workspace, spec) in deployment.workspaces.iter().enumerate() {
        let mut at_us = 0;
        loop {
            let rate = full_rate
                * spec.share
                * scenario.load(at_us)
                * scenario.workspace_factor(workspace, at_us);
            at_us += exponential_us(&mut rng, rate);
            if at_us >= RUN_US {
                break;
            }
            let has_prefix = rng.random::<f64>() < scenario.prefix_share();
            let rank = (rng.random::<f64>().powf(PREFIX_SKEW) * spec.prefixes as f64) as u64;
            arrivals.push(Arrival {
                at_us,
                instance: rng.random_range(0..deployment.instances.len()),
                workspace,
                pipeline: pick_pipeline(deployment, rng.random()),
                prefix: has_prefix.then_some(workspace as u64 * 1_000 + rank),
                is_return: false,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn pick_pipeline(deployment: &Deployment, mut point: f64) -> Arc<Pipeline> {
    for (pipeline, share) in &deployment.pipelines {
        if point < *share {
            return Arc::clone(pipeline);
        }
        point -= share;
    }
    Arc::clone(&deployment.pipelines[0].0)
}

fn exponential_us(rng: &mut Pcg64Mcg, rate_per_s: f64) -> u64 {
    let uniform: f64 = 1.0 - rng.random::<f64>();
    (-uniform.ln() / rate_per_s * SECOND_US as f64) as u64 + 1
}
