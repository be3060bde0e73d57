use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use super::free_port::start_process;

/// A process of a fleet. Dropping it kills the process.
#[derive(Debug)]
pub struct FleetProcess {
    program: PathBuf,
    arguments: Vec<String>,
    output: PathBuf,
    child: Option<Child>,
}

impl FleetProcess {
    /// Starts a process and appends its output to the file `output`.
    #[must_use]
    pub fn start(program: &Path, arguments: Vec<String>, output: PathBuf) -> Self {
        let program = program.to_owned();
        let mut process = Self { program, arguments, output, child: None };
        process.restart();
        process
    }

    /// Starts the process again with the same arguments, after its end.
    pub fn restart(&mut self) {
        let output = OpenOptions::new().create(true).append(true).open(&self.output);
        let output = output.expect("the fleet's directory is writable");
        let errors = output.try_clone().expect("a file handle can be duplicated");
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = start_process(&mut command);
        self.child = Some(child.expect("the binary has been built"));
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal, if the process has not ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Err(error) = kill_process(Pid::from_child(child), signal)
        {
            eprintln!("cannot send signal {} to {}: {error}", signal.as_raw(), child.id());
        }
    }

    /// CPU time that the process has used, in seconds.
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        /// Clock ticks per second in Linux's process statistics.
        const TICKS_PER_SECOND: f64 = 100.0;
        let text = self.proc_file("stat");
        // The process name in brackets may contain spaces, so fields count from its end.
        let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: f64 =
            fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
        ticks / TICKS_PER_SECOND
    }

    /// Resident memory of the process, in mebibytes.
    #[must_use]
    pub fn resident_mb(&self) -> u64 {
        const KB_PER_MB: u64 = 1_024;
        let text = self.proc_file("status");
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / KB_PER_MB
    }

    /// The content of a file of the process in `/proc`, or an empty string.
    fn proc_file(&self, name: &str) -> String {
        let pid = self.child.as_ref().map_or(0, Child::id);
        std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default()
    }

    /// Waits for the process to exit, and returns its status unless it was killed before.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        self.child.take().and_then(|mut child| child.wait().ok())
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.kill();
    }
}
