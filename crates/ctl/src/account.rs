//! Classifies requests by the log lines of all instances: counts those that ended in
//! time, and assigns one cause to each of the others.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, Write},
    path::Path,
};

use crate::{chart, error::Result, log_line::LogLine};

/// How a request ended, with the cause if it was not in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Outcome {
    /// Answered within its goal.
    InTime,
    /// Late: it was sent to a server when the goal was no longer reachable.
    LateInQueue,
    /// Late: its server took longer than the median to start the response.
    LateAtServer,
    /// Late: it was sent more than once.
    LateRepeated,
    /// Late: its stream paused for longer than its route allows.
    LatePause,
    /// Refused: its stages could not finish in time.
    RefusedBusy,
    /// Refused: a service has no server that accepts work.
    RefusedNoServer,
    /// Refused: the instance was starting or leaving.
    RefusedInstance,
    /// Refused: servers crashed each time they ran it.
    Quarantined,
    /// Not served: its deadline expired before its stages were done.
    ExpiredInQueue,
    /// Not served: its deadline expired at a server.
    ExpiredAtServer,
    /// Not served: the response of its server was lost or truncated.
    Lost,
    /// Not served: its server returned an error.
    Failed,
    /// Not served: its caller disconnected before the end of the answer.
    CallerGone,
    /// No line reports its end: its instance was lost, or its caller disconnected.
    NoEndLogged,
}

impl Outcome {
    /// All values in display order.
    pub(crate) const ALL: [Self; 15] = [
        Self::InTime,
        Self::LateInQueue,
        Self::LateAtServer,
        Self::LateRepeated,
        Self::LatePause,
        Self::RefusedBusy,
        Self::RefusedNoServer,
        Self::RefusedInstance,
        Self::Quarantined,
        Self::ExpiredInQueue,
        Self::ExpiredAtServer,
        Self::Lost,
        Self::Failed,
        Self::CallerGone,
        Self::NoEndLogged,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::LateInQueue => "late in the queue",
            Self::LateAtServer => "late at its server",
            Self::LateRepeated => "late, sent again",
            Self::LatePause => "late, paused",
            Self::RefusedBusy => "refused, too busy",
            Self::RefusedNoServer => "refused, no server",
            Self::RefusedInstance => "refused by an instance that starts or leaves",
            Self::Quarantined => "refused, servers end under it",
            Self::ExpiredInQueue => "expired in the queue",
            Self::ExpiredAtServer => "expired at its server",
            Self::Lost => "answer lost",
            Self::Failed => "failed by its server",
            Self::CallerGone => "caller gone",
            Self::NoEndLogged => "no end told",
        }
    }

    /// Returns the group in the chart and the second table.
    pub(crate) fn group(self) -> Group {
        match self {
            Self::InTime => Group::InTime,
            Self::LateInQueue | Self::LateAtServer | Self::LateRepeated | Self::LatePause => {
                Group::Late
            }
            Self::RefusedBusy
            | Self::RefusedNoServer
            | Self::RefusedInstance
            | Self::Quarantined => Group::Refused,
            Self::ExpiredInQueue
            | Self::ExpiredAtServer
            | Self::Lost
            | Self::Failed
            | Self::CallerGone
            | Self::NoEndLogged => Group::NotServed,
        }
    }
}

/// Groups of outcomes that callers can distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Group {
    /// Answered within the goal.
    InTime,
    /// Answered after the goal.
    Late,
    /// Refused.
    Refused,
    /// Neither answered nor refused.
    NotServed,
}

impl Group {
    /// All groups in display order.
    pub(crate) const ALL: [Self; 4] = [Self::InTime, Self::Late, Self::Refused, Self::NotServed];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::NotServed => "not served",
        }
    }
}

/// Data from the log lines of one request.
#[derive(Clone, Debug, Default)]
struct RequestLog {
    /// Time of day of its arrival, in seconds, derived from its first line.
    arrived_s: f64,
    goal_ms: Option<u64>,
    /// Time from its arrival to its first send, in ms.
    sent_ms: Option<u64>,
    sends: u64,
    moves: u64,
    end: Option<End>,
}

/// The end of a request, as logged.
#[derive(Clone, Debug)]
enum End {
    Answered { status: u64, elapsed_ms: u64 },
    Streamed(StreamEnd),
    Refused { reason: String },
}

/// The end of a stream.
#[derive(Clone, Debug)]
struct StreamEnd {
    end: String,
    first_event_ms: Option<u64>,
    longest_gap_ms: u64,
    gap_goal_ms: Option<u64>,
}

/// Number of requests of each group, by the start of the arrival interval in seconds.
pub(crate) type Timeline = BTreeMap<u64, BTreeMap<Group, usize>>;

/// Reads log lines, one JSON object each, and writes how requests ended, by goal
/// and by arrival time in intervals of `interval_s` seconds. Also draws the intervals
/// into the file `svg`. Each attempt of a caller counts as a request.
///
/// # Errors
///
/// Returns an error when the lines can't be read or the tables can't be written.
pub fn account(
    interval_s: u64,
    svg: Option<&Path>,
    logs: impl BufRead,
    out: &mut impl Write,
) -> Result<()> {
    let mut requests: HashMap<String, RequestLog> = HashMap::new();
    for line in logs.lines() {
        if let Some(line) = LogLine::parse(&line?) {
            add_line(&mut requests, &line);
        }
    }
    let median_ms = median_answer_ms(&requests);
    let classified: Vec<(&RequestLog, Outcome)> = requests
        .values()
        .map(|request| (request, classify(request, &median_ms)))
        .collect();
    write_causes(&classified, out)?;
    let timeline = timeline(&classified, interval_s);
    write_timeline(&timeline, out)?;
    if let Some(path) = svg {
        chart::draw(path, &timeline, interval_s)?;
    }
    Ok(())
}

fn add_line(requests: &mut HashMap<String, RequestLog>, line: &LogLine) {
    let Some(id) = line.text("request") else {
        return;
    };
    let elapsed_ms = line.number("elapsed_ms").unwrap_or(0);
    let request = requests.entry(id.to_owned()).or_insert_with(|| RequestLog {
        arrived_s: second_of_day(&line.timestamp) - elapsed_ms as f64 / 1_000.0,
        ..RequestLog::default()
    });
    if let Some(goal_ms) = line.number("goal_ms") {
        request.goal_ms = Some(goal_ms);
    }
    match line.message.as_str() {
        "server chosen" => {
            request.sends += 1;
            request.sent_ms.get_or_insert(elapsed_ms);
        }
        "stages ended" if line.text("end") == Some("moved") => request.moves += 1,
        "request answered" => {
            let status = line.number("status").unwrap_or(0);
            request.end = Some(End::Answered { status, elapsed_ms });
        }
        "stream ended" => {
            request.end = Some(End::Streamed(StreamEnd {
                end: line.text("end").unwrap_or_default().to_owned(),
                first_event_ms: line.number("first_event_ms"),
                longest_gap_ms: line.number("longest_gap_ms").unwrap_or(0),
                gap_goal_ms: line.number("gap_goal_ms"),
            }));
        }
        "request refused" => {
            let reason = line.text("reason").unwrap_or_default().to_owned();
            request.end = Some(End::Refused { reason });
        }
        _ => {}
    }
}

/// Returns the time of day in seconds of a timestamp such as `2026-01-01T00:00:02.5Z`.
fn second_of_day(at: &str) -> f64 {
    let time = at.split_once('T').map_or("", |(_, time)| time);
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut next_number = || {
        let part = parts.next().and_then(|part| part.parse::<f64>().ok());
        part.unwrap_or(0.0)
    };
    (next_number() * 60.0 + next_number()) * 60.0 + next_number()
}

/// Returns the median time from the first send to the answer for each goal, over
/// requests that were in time and sent once.
fn median_answer_ms(requests: &HashMap<String, RequestLog>) -> HashMap<u64, u64> {
    let mut by_goal: HashMap<u64, Vec<u64>> = HashMap::new();
    for request in requests.values() {
        let (Some(goal_ms), Some(sent_ms)) = (request.goal_ms, request.sent_ms) else {
            continue;
        };
        let Some(answered_ms) = request.answered_ms() else {
            continue;
        };
        if answered_ms <= goal_ms && request.sends == 1 {
            let times = by_goal.entry(goal_ms).or_default();
            times.push(answered_ms.saturating_sub(sent_ms));
        }
    }
    let median = |mut times: Vec<u64>| {
        times.sort_unstable();
        times[times.len() / 2]
    };
    by_goal
        .into_iter()
        .map(|(goal_ms, times)| (goal_ms, median(times)))
        .collect()
}

impl RequestLog {
    /// Returns the time from its arrival to the first event of its stream, or to its
    /// answer if it is not streamed, in ms.
    fn answered_ms(&self) -> Option<u64> {
        match self.end.as_ref()? {
            End::Answered { elapsed_ms, .. } => Some(*elapsed_ms),
            End::Streamed(stream) => stream.first_event_ms,
            End::Refused { .. } => None,
        }
    }
}

fn classify(request: &RequestLog, median_ms: &HashMap<u64, u64>) -> Outcome {
    match &request.end {
        None => Outcome::NoEndLogged,
        Some(End::Refused { reason }) => classify_refused(request, reason),
        Some(End::Answered { status, .. }) if !(200..300).contains(status) => Outcome::Failed,
        Some(End::Answered { elapsed_ms, .. }) => {
            classify_answered(request, *elapsed_ms, median_ms)
        }
        Some(End::Streamed(stream)) => match (stream.end.as_str(), stream.first_event_ms) {
            ("Whole", Some(first_ms)) => {
                let has_paused = stream
                    .gap_goal_ms
                    .is_some_and(|goal_ms| stream.longest_gap_ms > goal_ms);
                match classify_answered(request, first_ms, median_ms) {
                    Outcome::InTime if has_paused => Outcome::LatePause,
                    outcome => outcome,
                }
            }
            ("CallerGone", _) => Outcome::CallerGone,
            ("Overdue", _) => Outcome::ExpiredAtServer,
            _ => Outcome::Lost,
        },
    }
}

fn classify_refused(request: &RequestLog, reason: &str) -> Outcome {
    match reason {
        "stages_too_busy" => Outcome::RefusedBusy,
        "stages_too_late" | "stages_failed" => Outcome::ExpiredInQueue,
        "ends_servers" => Outcome::Quarantined,
        "copy_runs" => Outcome::RefusedBusy,
        "no_server" | "stages_no_server" => Outcome::RefusedNoServer,
        "starting" | "leaving" => Outcome::RefusedInstance,
        "overdue" if request.sent_ms.is_none() => Outcome::ExpiredInQueue,
        "overdue" => Outcome::ExpiredAtServer,
        "answer_lost" => Outcome::Lost,
        _ => Outcome::Failed,
    }
}

fn classify_answered(
    request: &RequestLog,
    answered_ms: u64,
    median_ms: &HashMap<u64, u64>,
) -> Outcome {
    let goal_ms = request.goal_ms.unwrap_or(u64::MAX);
    if answered_ms <= goal_ms {
        return Outcome::InTime;
    }
    let median_ms = median_ms.get(&goal_ms).copied().unwrap_or(0);
    if request.sent_ms.unwrap_or(0) + median_ms > goal_ms {
        Outcome::LateInQueue
    } else if request.sends > 1 || request.moves > 0 {
        Outcome::LateRepeated
    } else {
        Outcome::LateAtServer
    }
}

fn write_causes(classified: &[(&RequestLog, Outcome)], out: &mut impl Write) -> Result<()> {
    let mut counts: BTreeMap<(Option<u64>, Outcome), usize> = BTreeMap::new();
    for (request, outcome) in classified {
        *counts.entry((request.goal_ms, *outcome)).or_default() += 1;
    }
    let mut goals: Vec<Option<u64>> = counts.keys().map(|(goal_ms, _)| *goal_ms).collect();
    goals.dedup();
    write!(out, "{:<46}", "requests by their goal")?;
    for goal_ms in &goals {
        let name = goal_ms.map_or("none".to_owned(), |goal_ms| format!("{goal_ms} ms"));
        write!(out, "{name:>9}")?;
    }
    writeln!(out, "{:>9}", "all")?;
    for outcome in Outcome::ALL {
        let count = |goal_ms: &Option<u64>| counts.get(&(*goal_ms, outcome)).copied().unwrap_or(0);
        let total: usize = goals.iter().map(count).sum();
        if total == 0 {
            continue;
        }
        write!(out, "{:<46}", outcome.as_str())?;
        for goal_ms in &goals {
            write!(out, "{:>9}", count(goal_ms))?;
        }
        writeln!(out, "{total:>9}")?;
    }
    Ok(())
}

fn timeline(classified: &[(&RequestLog, Outcome)], interval_s: u64) -> Timeline {
    let arrivals_s = classified.iter().map(|(request, _)| request.arrived_s);
    let earliest_s = arrivals_s.fold(f64::INFINITY, f64::min);
    let mut timeline = Timeline::new();
    for (request, outcome) in classified {
        let interval_start_s = (request.arrived_s - earliest_s) as u64 / interval_s * interval_s;
        let groups = timeline.entry(interval_start_s).or_default();
        *groups.entry(outcome.group()).or_default() += 1;
    }
    timeline
}

fn write_timeline(timeline: &Timeline, out: &mut impl Write) -> Result<()> {
    write!(out, "\n{:<12}", "from second")?;
    for group in Group::ALL {
        write!(out, "{:>12}", group.as_str())?;
    }
    writeln!(out)?;
    for (second, groups) in timeline {
        write!(out, "{second:<12}")?;
        for group in Group::ALL {
            write!(out, "{:>12}", groups.get(&group).copied().unwrap_or(0))?;
        }
        writeln!(out)?;
    }
    Ok(())
}
