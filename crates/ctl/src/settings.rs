//! Settings common to all commands.

use std::{fmt, net::SocketAddr, path::Path, time::Duration};

use crate::{
    error::{Error, Result},
    file,
};

/// Longest accepted credential file, in bytes.
const MAX_CREDENTIAL_BYTES: u64 = 4096;

/// Settings of the controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the instances' operator listeners, tried in this order.
    pub admins: Vec<SocketAddr>,
    /// Operators' credential.
    pub credential: Credential,
    /// Timeout for one response, in ms.
    pub timeout_ms: u64,
    /// How results are printed.
    pub format: Format,
}

impl Settings {
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Tables and text.
    #[default]
    Human,
    /// One JSON document.
    Json,
}

/// A credential; `Debug` does not print it.
#[derive(Clone)]
pub struct Credential(String);

impl Credential {
    /// Reads the credential from the first line of the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or has no usable credential.
    pub fn load(path: &Path) -> Result<Self> {
        let bytes = file::read(path, MAX_CREDENTIAL_BYTES)?;
        let text = String::from_utf8(bytes).unwrap_or_default();
        let credential = text.lines().next().unwrap_or_default().trim();
        let is_usable = !credential.is_empty() && credential.bytes().all(|b| b.is_ascii_graphic());
        if !is_usable {
            return Err(Error::Credential(path.to_owned()));
        }
        Ok(Self(credential.to_owned()))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}
