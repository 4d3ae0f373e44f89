//! Decides what follows an attempt of a forwarded request: a response or another attempt.

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was written to a socket.
    NotSent,
    /// Another server now has the address, and did not run the request.
    Misdirected,
    /// The server did not run the request, since an input result is no longer available.
    InputsGone,
    /// The server reports that it did not run the request.
    NotRun,
    /// The server ran the request and responded with a failure.
    Failed,
    /// The response was lost, invalid or belonged to another request.
    Lost,
    /// The server timed out without a response; a repeat has been taken out of the budget.
    Silent,
}

/// Whether a request may be repeated after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// It may be repeated.
    Allowed,
    /// It may not be repeated.
    Never,
}

/// Response to the caller after the last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The request did not run; with `Retry-After`.
    Refusal,
    /// The failure with which the server responded.
    ServersFailure,
    /// No response is available; the request may have run.
    NoAnswer,
}

impl AttemptEnd {
    /// Tells whether the attempt counts towards the most servers of a request. It does not if
    /// it never reached the intended server, or reached it without its inputs.
    pub fn counts(self) -> bool {
        !matches!(self, Self::NotSent | Self::Misdirected | Self::InputsGone)
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request is sent to another server.
    SendAgain,
    /// The caller gets this response.
    Give(FinalResponse),
}

/// Decides what follows the end of an attempt.
///
/// `may_have_run` says whether any attempt, this one included, may have run; `can_repeat`
/// whether the time, the attempts and the servers left allow another one. `try_spend` takes a
/// repeat out of the budget and returns whether one was left; it is not called for requests
/// that were not sent or that have spent a repeat already.
pub fn next_step(
    end: AttemptEnd,
    policy: RepeatPolicy,
    may_have_run: bool,
    can_repeat: bool,
    try_spend: impl FnOnce() -> bool,
) -> NextStep {
    let has_not_run = matches!(
        end,
        AttemptEnd::NotSent | AttemptEnd::Misdirected | AttemptEnd::InputsGone | AttemptEnd::NotRun
    );
    let is_allowed = policy == RepeatPolicy::Allowed || (has_not_run && !may_have_run);
    let is_prepaid = matches!(end, AttemptEnd::NotSent | AttemptEnd::Silent);
    if is_allowed && can_repeat && (is_prepaid || try_spend()) {
        return NextStep::SendAgain;
    }
    NextStep::Give(match end {
        AttemptEnd::Failed => FinalResponse::ServersFailure,
        _ if has_not_run && !may_have_run => FinalResponse::Refusal,
        _ => FinalResponse::NoAnswer,
    })
}
