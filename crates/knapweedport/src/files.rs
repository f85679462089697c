//! Reads files that arguments and settings refer to, and writes key files.

use std::{
    fs,
    io::{Read, Write},
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use base_settings::FileReader;
use error_stack::{Report, ResultExt};

use crate::exit::CommandError;

const SECRET_MODE: u32 = 0o600;
const PUBLIC_MODE: u32 = 0o644;

/// Reads files relative to the folder of the settings file that refers to them.
pub(crate) struct DiskFiles<'a> {
    folder: &'a Path,
}

impl<'a> DiskFiles<'a> {
    pub(crate) fn relative_to(settings: &'a Path) -> Self {
        Self { folder: settings.parent().unwrap_or(Path::new("")) }
    }
}

impl FileReader for DiskFiles<'_> {
    fn read(&self, path: &str) -> Result<Box<[u8]>, Box<str>> {
        let bytes = fs::read(self.folder.join(path));
        bytes.map(Vec::into_boxed_slice).map_err(|error| error.to_string().into())
    }
}

/// Reads a text file, or standard input if the path is `-`.
pub(crate) fn read_text(path: &Path) -> Result<String, Report<CommandError>> {
    let result = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    result
        .change_context(CommandError::Failed)
        .attach_with(|| format!("cannot read {}", path.display()))
}

/// Creates a file that only its owner can read; fails if the file exists.
pub(crate) fn write_secret(path: &Path, text: &str) -> Result<(), Report<CommandError>> {
    write_new(path, text, SECRET_MODE)
}

/// Creates a world-readable file; fails if the file exists.
pub(crate) fn write_public(path: &Path, text: &str) -> Result<(), Report<CommandError>> {
    write_new(path, text, PUBLIC_MODE)
}

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), Report<CommandError>> {
    let file = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .change_context(CommandError::Failed)
        .attach_with(|| format!("cannot write {}", path.display()))
}
