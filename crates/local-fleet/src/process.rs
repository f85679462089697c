//! Child processes and the signals sent to them.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use error_stack::{Report, ResultExt};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::FleetError;

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program and appends its output to a log file.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started or the log not opened.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> Result<Self, Report<FleetError>> {
        let log = File::options().create(true).append(true).open(log).change_context(FleetError)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().change_context(FleetError)?)
            .stderr(log)
            .spawn()
            .change_context(FleetError)
            .attach_with(|| format!("cannot start {}", program.display()))?;
        Ok(Self { child })
    }

    /// Process id (PID).
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGHUP. By convention it requests a reload; routers log and ignore it.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process with SIGCONT after a freeze.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// The exit status; none while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends a signal; an error is ignored, as the process may have exited already.
    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
