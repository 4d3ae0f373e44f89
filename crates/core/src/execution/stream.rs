//! Merges the tokens of one stage from its attempts.

/// The result of inserting a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenStatus {
    /// It is the next token of the stage.
    New,
    /// The same token was received before.
    Duplicate,
    /// It contradicts an earlier token or leaves a gap.
    Invalid,
}

/// The tokens of a stage, deduplicated and in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenStream {
    tokens: Vec<String>,
}

impl TokenStream {
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn clear(&mut self) {
        self.tokens.clear();
    }

    /// Inserts a token at its index.
    pub(crate) fn insert(&mut self, index: u32, text: &str) -> TokenStatus {
        match self.tokens.get(index as usize) {
            Some(known) if known == text => TokenStatus::Duplicate,
            Some(_) => TokenStatus::Invalid,
            None if index == self.len() => {
                self.tokens.push(text.to_owned());
                TokenStatus::New
            }
            None => TokenStatus::Invalid,
        }
    }
}
