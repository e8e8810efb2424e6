// SPDX-License-Identifier: Apache-2.0
//! Folders of tests that fail are kept, and processes of tests end with them.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::{Result, bail};
use stackpier_testkit::{
    cluster::{Cluster, Plan},
    folder::Folder,
};

/// start starts a deployment of a single process: the platform.
fn start() -> Result<Cluster> {
    Cluster::start(Plan {
        daemons: 0,
        workers: 0,
        ..Plan::default()
    })
}

/// has_process reports whether the command line of a running process names a file in a folder, as
/// that of the platform does.
fn has_process(folder: &Path) -> Result<bool> {
    let start = format!("{}/", folder.display());
    let lines = fs::read_dir("/proc")?
        .filter_map(|entry| fs::read_to_string(entry.ok()?.path().join("cmdline")).ok());
    Ok(lines.into_iter().any(|line| line.contains(&start)))
}

/// Guards against logs that are lost when a test fails by returning an error.
#[test]
fn folder_of_a_test_that_returns_an_error_is_kept() -> Result<()> {
    let mut folder = PathBuf::new();
    let mut fail = || -> Result<()> {
        let cluster = start()?;
        folder = cluster.folder.to_path_buf();
        bail!("a check failed")
    };
    assert!(fail().is_err());
    assert!(folder.join("platform.log").is_file(), "its logs are gone");
    assert!(!has_process(&folder)?);
    Ok(fs::remove_dir_all(folder)?)
}

/// Guards against folders of passed tests that pile up, and against processes that remain.
#[test]
fn folder_of_a_test_that_has_passed_is_removed() -> Result<()> {
    let cluster = start()?;
    let folder = cluster.folder.to_path_buf();
    assert!(folder.is_dir());
    assert!(has_process(&folder)?, "the platform runs");
    cluster.finish()?;
    assert!(!folder.exists(), "its folder is left");
    assert!(!has_process(&folder)?, "a process is left");
    Ok(())
}

/// Guards against the logs of two test programs in one folder: an earlier one may have had the
/// same process id and kept its folder.
#[test]
fn kept_folder_is_not_used_again() -> Result<()> {
    let first = Folder::create("stackpier-again")?;
    let path = first.to_path_buf();
    drop(first);
    let kept = path.display().to_string();
    let (stem, number) = kept.rsplit_once('-').expect("its name ends with a number");
    // The next folders of this process would have these names.
    let number: u32 = number.parse()?;
    let taken: Vec<_> = (number + 1..number + 4)
        .map(|next| PathBuf::from(format!("{stem}-{next}")))
        .collect();
    taken.iter().try_for_each(fs::create_dir)?;
    let next = Folder::create("stackpier-again")?;
    assert!(next.to_path_buf() != path && !taken.contains(&next.to_path_buf()));
    next.remove()?;
    assert!(path.is_dir());
    taken.iter().try_for_each(fs::remove_dir)?;
    Ok(fs::remove_dir(path)?)
}
