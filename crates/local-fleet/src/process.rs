//! One child process that is ended with its owner.

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
    /// Starts a program; its output goes to a log file.
    ///
    /// # Errors
    ///
    /// Fails when the program or its log cannot be opened.
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

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells the process that its settings changed.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Wakes the process from a freeze.
    pub fn wake(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// The exit status, once the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// A process that has ended meanwhile needs no signal.
    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
