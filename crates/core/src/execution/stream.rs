//! The tokens of one stage, put together from the attempts at it.

/// What became of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenPlace {
    /// It is the next one of the stage.
    New,
    /// Another attempt gave the same one before.
    Known,
    /// It contradicts one that was given before, or leaves a gap.
    Broken,
}

/// Tokens of a stage, each once and in order.
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

    /// Places a token by its index.
    pub(crate) fn place(&mut self, index: u32, text: &str) -> TokenPlace {
        match self.tokens.get(index as usize) {
            Some(known) if known == text => TokenPlace::Known,
            Some(_) => TokenPlace::Broken,
            None if index == self.len() => {
                self.tokens.push(text.to_owned());
                TokenPlace::New
            }
            None => TokenPlace::Broken,
        }
    }
}
