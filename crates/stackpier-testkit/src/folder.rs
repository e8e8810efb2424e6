// SPDX-License-Identifier: Apache-2.0
//! Folders with the settings and logs of tests. Those of tests that fail are kept.

use std::{
    fs,
    io::{ErrorKind, Write, stderr},
    ops::Deref,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use anyhow::{Context, Result};

/// FOLDERS counts the folders of this process, which are numbered.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// Folder is a folder in the system's folder for temporary files. Dropping it keeps the folder
/// and prints its path.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    is_removed: bool,
}

impl Folder {
    /// create creates a new folder, whose name begins with `prefix`.
    pub fn create(prefix: &str) -> Result<Folder> {
        loop {
            let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
            let name = format!("{prefix}-{}-{number}", std::process::id());
            let path = std::env::temp_dir().join(name);
            match fs::create_dir(&path) {
                // An earlier process with the same id may have kept its folder.
                Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
                created => {
                    created.with_context(|| format!("creating {}", path.display()))?;
                    let is_removed = false;
                    return Ok(Folder { path, is_removed });
                }
            }
        }
    }

    /// remove removes the folder and all it contains.
    pub fn remove(mut self) -> Result<()> {
        fs::remove_dir_all(&self.path)
            .with_context(|| format!("removing {}", self.path.display()))?;
        self.is_removed = true;
        Ok(())
    }
}

impl Deref for Folder {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.is_removed {
            // Unlike the output of `eprintln`, this line is also shown if the test passes, which
            // then has forgotten to remove its folder. A failure to write has nowhere to go.
            let _ = writeln!(stderr(), "logs kept in {}", self.path.display());
        }
    }
}
