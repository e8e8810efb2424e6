// SPDX-License-Identifier: Apache-2.0
//! Child processes that are killed when the test that started them ends.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
};

use anyhow::{Context, Result, ensure};

/// Process is a child process. Dropping it kills it.
pub struct Process {
    child: Child,
    stopped: bool,
}

/// Signal is a signal that a test sends to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Suspends it.
    Stop,
    /// Resumes it.
    Continue,
    /// Asks it to stop.
    Terminate,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        }
    }
}

/// binary returns the path of a program of this workspace. It looks for it in the
/// folders above the running program.
pub fn binary(name: &str) -> Result<PathBuf> {
    let running = std::env::current_exe()?;
    let mut folders = running.ancestors().skip(1);
    let found = folders.find_map(|folder| {
        let path = folder.join(name);
        path.is_file().then_some(path)
    });
    found.with_context(|| format!("{name} is not built: run `cargo build --workspace`"))
}

impl Process {
    /// start runs a program of this workspace and appends its output to `log`.
    pub fn start<S: AsRef<std::ffi::OsStr>>(name: &str, args: &[S], log: &Path) -> Result<Process> {
        Process::start_with(name, args, &[], log)
    }

    /// start_with runs a program like `start`, with more environment variables.
    pub fn start_with<S: AsRef<std::ffi::OsStr>>(
        name: &str,
        args: &[S],
        variables: &[(&str, &Path)],
        log: &Path,
    ) -> Result<Process> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = Command::new(binary(name)?)
            .args(args)
            .envs(variables.iter().copied())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .with_context(|| format!("starting {name}"))?;
        Ok(Process {
            child,
            stopped: false,
        })
    }

    /// id returns the process id of the child.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// signal sends a signal to the child.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal.flag(), &id]).status()?;
        ensure!(status.success(), "kill {} {id} failed", signal.flag());
        self.stopped = signal == Signal::Stop;
        Ok(())
    }

    /// kill kills the child and waits until it has ended.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// exited returns the exit status of the child if it has ended.
    pub fn exited(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls may fail, as the child may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
