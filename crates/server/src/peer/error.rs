//! Errors of messages to peers.

use quick_error::quick_error;

quick_error! {
    /// Why a message to a peer got no valid response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// No address of the peer is known.
        NoAddress {
            display("no address known")
        }
        /// The message was not sent; the peer did not process it.
        NotSent(reason: String) {
            display("not sent: {}", reason)
        }
        /// Another incarnation or instance responded, which did not process the message.
        Misdirected {
            display("another instance or incarnation answers there")
        }
        /// The message was sent without a response; the peer may have processed it.
        Unanswered(reason: String) {
            display("no answer: {}", reason)
        }
        /// The response is invalid; the peer may have processed the message.
        Malformed(reason: String) {
            display("malformed answer: {}", reason)
        }
    }
}

impl PeerError {
    /// Returns whether the peer certainly did not process the message.
    pub fn is_not_processed(&self) -> bool {
        match self {
            Self::NoAddress | Self::NotSent(_) | Self::Misdirected => true,
            Self::Unanswered(_) | Self::Malformed(_) => false,
        }
    }
}

/// Result of a message to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;
