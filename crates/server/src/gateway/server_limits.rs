//! The rate limits that servers name, as far as an instance knows them.

use savoryvane_core::{
    forwarding::{LimitChange, LimitReport, NamedLimit},
    ids::BackendName,
};
use slog::info;

use super::routing_view::RoutingView;

impl RoutingView {
    /// Applies the rate limit named in the response to a request sent at `sent_at_ms`.
    pub(super) fn on_limit(&self, server: &BackendName, sent_at_ms: u64, named: NamedLimit) {
        if named == NamedLimit::Unreadable {
            self.log_unreadable_signal(server, "server-limit");
        }
        let now_ms = self.now_ms();
        let change = {
            let mut fleet = self.fleet();
            fleet
                .limits()
                .on_response(now_ms, sent_at_ms, server, named)
        };
        if let Some(change) = change {
            self.log_limit_change(server, change, "response");
        }
    }

    /// Merges another instance's reports of rate limits.
    pub(super) fn update_limits(&self, reports: Vec<LimitReport>) {
        let now_ms = self.now_ms();
        let changes = self.fleet().limits().on_reports(now_ms, reports);
        self.log_limit_changes(&changes);
    }

    /// Merges the rate limit reports of another instance, which knows this one's up to
    /// `known_revision`. Returns the reports that it lacks, and the revision up to which
    /// it has them all then.
    pub(super) fn exchange_limits(
        &self,
        known_revision: u64,
        reports: Vec<LimitReport>,
    ) -> (u64, Vec<LimitReport>) {
        let now_ms = self.now_ms();
        let (unknown, changes, revision) = {
            let mut fleet = self.fleet();
            let limits = fleet.limits();
            let unknown = limits.reports_since(now_ms, known_revision);
            let changes = limits.on_reports(now_ms, reports);
            (unknown, changes, limits.revision())
        };
        self.log_limit_changes(&changes);
        (revision, unknown)
    }

    /// Records that no grant for `servers` is available for `retry_in_ms`.
    pub(super) fn on_limits_closed(&self, servers: &[BackendName], retry_in_ms: u64) {
        let now_ms = self.now_ms();
        let mut fleet = self.fleet();
        for server in servers {
            fleet.limits().on_closed(now_ms, server, retry_in_ms);
        }
    }

    fn log_limit_changes(&self, changes: &[(BackendName, LimitChange)]) {
        for (server, change) in changes {
            self.log_limit_change(server, *change, "peer");
        }
    }

    fn log_limit_change(&self, server: &BackendName, change: LimitChange, source: &'static str) {
        let limited = self.fleet().limits().count();
        info!(self.log, "server limit changed"; "server" => %server,
            "limit_per_s" => change.after, "before" => change.before, "source" => source,
            "limited" => limited);
        metrics::gauge!("savoryvane_limited_servers").set(limited as f64);
        self.limits_changed.notify_one();
    }

    /// Waits for the next change of a server's limit.
    pub(super) async fn limits_changed(&self) {
        self.limits_changed.notified().await;
    }
}
