//! Access to the files that settings name.

/// Reads files for the settings parser, which does no I/O itself.
pub trait FileReader {
    /// Reads a file completely; `path` is the path as written in the settings.
    ///
    /// # Errors
    ///
    /// Fails with a short description of the reason, which becomes part of a settings fault.
    fn read(&self, path: &str) -> Result<Box<[u8]>, Box<str>>;
}
