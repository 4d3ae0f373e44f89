//! What follows a send of a forwarded request: an answer or one more send.

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing of the request was handed to a socket.
    NotSent,
    /// Another server has the address, and did not run the request.
    Misdirected,
    /// The server did not run the request, since a result that it needs is gone.
    InputsGone,
    /// The server says that it did not run the request.
    NotRun,
    /// The server ran it and answered with a failure of its own.
    Failed,
    /// The answer was lost, broken or not that of the request.
    Lost,
    /// The server stayed silent, and a repeat was taken out of the budget.
    Silent,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// It may.
    Allowed,
    /// It may not.
    Never,
}

/// What the caller is told when nothing more is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// That it was not run and when to come back.
    Refusal,
    /// The failure that the server answered with.
    ServerFailure,
    /// That it has no answer, and nothing about whether it ran.
    NoAnswer,
}

impl AttemptEnd {
    /// Tells whether the send uses up one of the servers that a request may be
    /// sent to: not when it never reached the server that was meant, or came there
    /// without what it needs.
    pub fn counts(self) -> bool {
        !matches!(self, Self::NotSent | Self::Misdirected | Self::InputsGone)
    }
}

/// What follows a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// It is sent to another server.
    SendAgain,
    /// The caller gets an answer.
    Give(FinalResponse),
}

/// Decides what follows the end of a send.
///
/// `may_have_run` tells whether any send, this one included, may have run;
/// `has_room` whether another server, its attempts and the time allow one more
/// send. For all but those that never left and those that have paid already,
/// `spend` takes one repeat out of the budget and tells whether there was one.
pub fn next_step(
    end: AttemptEnd,
    repeats: RepeatPolicy,
    may_have_run: bool,
    has_room: bool,
    spend: impl FnOnce() -> bool,
) -> NextStep {
    let is_harmless = matches!(
        end,
        AttemptEnd::NotSent | AttemptEnd::Misdirected | AttemptEnd::InputsGone | AttemptEnd::NotRun
    );
    let is_allowed = repeats == RepeatPolicy::Allowed || (is_harmless && !may_have_run);
    let is_paid = matches!(end, AttemptEnd::NotSent | AttemptEnd::Silent);
    if is_allowed && has_room && (is_paid || spend()) {
        return NextStep::SendAgain;
    }
    NextStep::Give(match end {
        AttemptEnd::Failed => FinalResponse::ServerFailure,
        _ if is_harmless && !may_have_run => FinalResponse::Refusal,
        _ => FinalResponse::NoAnswer,
    })
}
