//! Schedules reports: at a steady pace, and sooner on new demand as long as
//! that stays rare.

/// Time between two steady reports, in ms.
pub const REPORT_INTERVAL_MS: u64 = 1_000;
/// Minimum time between a report and a following urgent one, in ms.
const MIN_URGENT_INTERVAL_MS: u64 = 200;
/// Maximum urgent reports in a row.
const MAX_URGENT_CREDITS: u32 = 4;
/// Steady reports that earn one urgent report.
const STEADY_REPORTS_PER_CREDIT: u32 = 4;

/// The schedule of the reports of one claimant for one shard.
#[derive(Clone, Copy, Debug)]
pub struct ReportSchedule {
    next_report_ms: u64,
    last_report_ms: u64,
    urgent_credits: u32,
    steady_reports: u32,
    is_urgent: bool,
}

impl ReportSchedule {
    /// Creates a schedule with the first report at `first_ms`.
    pub fn new(now_ms: u64, first_ms: u64) -> Self {
        Self {
            next_report_ms: first_ms,
            last_report_ms: now_ms,
            urgent_credits: MAX_URGENT_CREDITS,
            steady_reports: 0,
            is_urgent: false,
        }
    }

    /// Requests a report before the next steady one.
    pub fn request_urgent(&mut self) {
        self.is_urgent = true;
    }

    /// Returns the time since the last report in ms if one is due now, and
    /// counts that one as made.
    pub fn take_due(&mut self, now_ms: u64) -> Option<u64> {
        let is_steady = now_ms >= self.next_report_ms;
        let is_urgent = self.is_urgent
            && self.urgent_credits > 0
            && now_ms >= self.last_report_ms + MIN_URGENT_INTERVAL_MS;
        if !is_steady && !is_urgent {
            return None;
        }
        if is_steady {
            self.steady_reports += 1;
            if self
                .steady_reports
                .is_multiple_of(STEADY_REPORTS_PER_CREDIT)
            {
                self.urgent_credits = (self.urgent_credits + 1).min(MAX_URGENT_CREDITS);
            }
        } else {
            self.urgent_credits -= 1;
        }
        let elapsed_ms = now_ms.saturating_sub(self.last_report_ms);
        self.is_urgent = false;
        self.last_report_ms = now_ms;
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        Some(elapsed_ms)
    }
}
