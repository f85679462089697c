//! How the settings reach the files that they name.

/// Reads the files that settings name; sockets and files are the caller's business.
pub trait FileReader {
    /// Reads a whole file, or says in plain words why it cannot be read.
    ///
    /// # Errors
    ///
    /// Fails with the reason in words.
    fn read(&self, path: &str) -> Result<Box<[u8]>, Box<str>>;
}
