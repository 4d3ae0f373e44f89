//! Why a peer did not answer.

use quick_error::quick_error;

quick_error! {
    /// Why a message to a peer got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// No address of the peer is known.
        NoAddress {
            display("no address known")
        }
        /// The message did not leave; the peer did nothing.
        NotSent(reason: String) {
            display("not sent: {}", reason)
        }
        /// Another run or another instance answers there; it did nothing.
        Misdirected {
            display("another instance or incarnation answers there")
        }
        /// The message left and no answer came; the peer may have acted on it.
        Unanswered(reason: String) {
            display("no answer: {}", reason)
        }
        /// The answer makes no sense; the peer may have acted on the message.
        Malformed(reason: String) {
            display("malformed answer: {}", reason)
        }
    }
}

impl PeerError {
    /// Tells whether the peer is sure not to have acted on the message.
    pub fn is_nothing_done(&self) -> bool {
        match self {
            Self::NoAddress | Self::NotSent(_) | Self::Misdirected => true,
            Self::Unanswered(_) | Self::Malformed(_) => false,
        }
    }
}

/// Result of a message to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;
