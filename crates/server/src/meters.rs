//! Metrics in the Prometheus text format.

use std::{
    collections::HashSet,
    sync::{Mutex, OnceLock},
    time::Duration,
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use savoryvane_core::{cost::StageUsage, ids::PipelineName, ids::WorkspaceName, outcome::Outcome};

use crate::lock::lock;

/// Maximum number of workspace and pipeline pairs with labels of their own. All
/// other pairs share the label `other`.
const MAX_LABELLED_PAIRS: usize = 256;
/// Label of the pairs beyond [`MAX_LABELLED_PAIRS`].
const OTHER_LABEL: &str = "other";
/// Upper bounds of the latency histogram buckets, in s.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];
const US_PER_S: f64 = 1_000_000.0;

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Metrics of one instance.
#[derive(Debug)]
pub(crate) struct Meters {
    handle: PrometheusHandle,
    labelled: Mutex<HashSet<(WorkspaceName, PipelineName)>>,
}

impl Meters {
    /// Installs the metrics recorder of this process if there is none yet.
    pub(crate) fn install() -> Self {
        let handle = RECORDER.get_or_init(install_recorder).clone();
        Self {
            handle,
            labelled: Mutex::default(),
        }
    }

    /// Renders all metrics as text.
    pub(crate) fn render(&self) -> String {
        self.handle.render()
    }

    /// Runs the recorder's upkeep; call it every few seconds.
    pub(crate) fn upkeep(&self) {
        self.handle.run_upkeep();
    }

    /// Records the final answer of a request.
    pub(crate) fn record_answer(
        &self,
        workspace: &WorkspaceName,
        pipeline: &PipelineName,
        outcome: Outcome,
        is_on_time: bool,
        elapsed: Duration,
    ) {
        let (workspace, pipeline) = self.labels(workspace, pipeline);
        metrics::counter!("savoryvane_requests_total", "workspace" => workspace.clone(),
            "pipeline" => pipeline.clone(), "outcome" => outcome.as_str())
        .increment(1);
        if is_on_time && outcome == Outcome::Complete {
            metrics::counter!("savoryvane_requests_attained_total",
                "workspace" => workspace.clone(), "pipeline" => pipeline.clone())
            .increment(1);
        }
        metrics::histogram!("savoryvane_request_seconds", "workspace" => workspace,
            "pipeline" => pipeline)
        .record(elapsed);
    }

    /// Records the time and cost of one stage of a request.
    pub(crate) fn record_stage(
        &self,
        workspace: &WorkspaceName,
        pipeline: &PipelineName,
        usage: &StageUsage,
    ) {
        let (workspace, pipeline) = self.labels(workspace, pipeline);
        let stage = if pipeline == OTHER_LABEL {
            OTHER_LABEL.to_owned()
        } else {
            usage.stage.to_string()
        };
        let labels = [
            ("workspace", workspace),
            ("pipeline", pipeline),
            ("stage", stage),
        ];
        metrics::histogram!("savoryvane_stage_seconds", &labels)
            .record(usage.elapsed_us as f64 / US_PER_S);
        metrics::counter!("savoryvane_stage_calls_total", &labels)
            .increment(u64::from(usage.calls));
        metrics::counter!("savoryvane_stage_busy_microseconds_total", &labels)
            .increment(usage.busy_us);
        metrics::counter!("savoryvane_stage_cost_micros_total", &labels)
            .increment(usage.cost_micros);
        metrics::counter!("savoryvane_stage_wasted_micros_total", &labels)
            .increment(usage.wasted_micros);
    }

    fn labels(&self, workspace: &WorkspaceName, pipeline: &PipelineName) -> (String, String) {
        let pair = (workspace.clone(), pipeline.clone());
        let mut labelled = lock(&self.labelled);
        let is_below_limit = labelled.len() < MAX_LABELLED_PAIRS;
        if labelled.contains(&pair) || (is_below_limit && labelled.insert(pair)) {
            (workspace.to_string(), pipeline.to_string())
        } else {
            (OTHER_LABEL.to_owned(), OTHER_LABEL.to_owned())
        }
    }
}

fn install_recorder() -> PrometheusHandle {
    let seconds_matcher = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds_matcher, &LATENCY_BUCKETS_S)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only if the process already has a recorder, which then stays in use.
    let _ = metrics::set_global_recorder(recorder);
    handle
}
