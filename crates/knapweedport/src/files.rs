//! Reading files that arguments and settings name.

use std::{fs, path::Path};

use base_settings::FileReader;

/// Files on disk, relative to the folder of the settings file that names them.
pub(crate) struct DiskFiles<'a> {
    folder: &'a Path,
}

impl<'a> DiskFiles<'a> {
    pub(crate) fn beside(settings: &'a Path) -> Self {
        Self { folder: settings.parent().unwrap_or(Path::new("")) }
    }
}

impl FileReader for DiskFiles<'_> {
    fn read(&self, path: &str) -> Result<Box<[u8]>, Box<str>> {
        let bytes = fs::read(self.folder.join(path));
        bytes.map(Vec::into_boxed_slice).map_err(|error| error.to_string().into())
    }
}
