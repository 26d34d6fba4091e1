//! The sidecar processes, one per machine. Signals go only to processes started here, by process id.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use super::harness::Machine;
use crate::error::BenchError;

/// The checked bounds as they appear in the nodes' settings.
pub const BOUNDS_SETTINGS: &str = "contact_ms = 1500\ndrain_ms = 1500\ngrace_period_s = 5\nrepeat_ratio = 0.2\n\
                          repeat_slack = 20\nkeys_proven_within_ms = 4000\nquota_window_s = 5\n";
/// Interval at which instances renew their entries, as told to the nodes, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;

/// Sidecar processes, by machine.
pub struct Processes {
    program: PathBuf,
    directory: PathBuf,
    running: RefCell<Vec<Option<Child>>>,
}

impl Processes {
    /// Writes the settings of all machines to `directory`, where the logs go too. No process is started yet.
    pub fn new(directory: &Path, machines: &[Machine]) -> Result<Self, BenchError> {
        std::fs::create_dir_all(directory).map_err(|error| BenchError::File(error.to_string()))?;
        let program = std::env::current_exe().map_err(|error| BenchError::Process(error.to_string()))?;
        for machine in machines {
            let file = directory.join(format!("{}.toml", machine.name()));
            std::fs::write(&file, settings(machine)).map_err(|error| BenchError::File(error.to_string()))?;
        }
        let running = RefCell::new(machines.iter().map(|_| None).collect());
        Ok(Processes { program, directory: directory.to_path_buf(), running })
    }

    /// Starts a machine's process.
    pub fn start(&self, machine: &Machine) -> Result<(), BenchError> {
        let log = self.log(machine)?;
        let settings = self.directory.join(format!("{}.toml", machine.name()));
        let child = Command::new(&self.program)
            .args(["sidecar", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| BenchError::File(error.to_string()))?)
            .stdout(log)
            .spawn()
            .map_err(|error| BenchError::Process(error.to_string()))?;
        self.running.borrow_mut()[machine.index] = Some(child);
        Ok(())
    }

    fn log(&self, machine: &Machine) -> Result<File, BenchError> {
        let file = self.directory.join(format!("{}.log", machine.name()));
        let log = OpenOptions::new().create(true).append(true).open(file);
        log.map_err(|error| BenchError::File(error.to_string()))
    }

    /// True until the process of a machine is killed or its exit status is taken.
    pub fn is_running(&self, machine: usize) -> bool {
        self.running.borrow()[machine].is_some()
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, machine: usize, signal: Signal) {
        let running = self.running.borrow();
        let pid = running[machine].as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // Fails if the process has just exited; then no signal is needed.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a machine's process and waits for it.
    pub fn kill(&self, machine: usize) {
        if let Some(mut child) = self.running.borrow_mut()[machine].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status of a process that has exited, which then no longer counts as running.
    pub fn take_exit_status(&self, machine: usize) -> Option<ExitStatus> {
        let mut running = self.running.borrow_mut();
        let status = running[machine].as_mut()?.try_wait().ok()??;
        running[machine] = None;
        Some(status)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let count = self.running.borrow().len();
        for machine in 0..count {
            self.kill(machine);
        }
    }
}

fn settings(machine: &Machine) -> String {
    format!(
        "node = \"{}\"\nzone = \"{}\"\nservice = \"{}\"\ninstance = \"{}\"\n\n\
         [listen]\noutbound = \"{}\"\ninbound = \"{}\"\nadvertised_ip = \"{}\"\nreadiness = \"{}\"\npeers_port = {}\n\n\
         [source]\naddress = \"{}\"\nheartbeat_ms = {HEARTBEAT_MS}\n\n[bounds]\n{BOUNDS_SETTINGS}\n",
        machine.name(),
        machine.zone,
        machine.service,
        machine.instance,
        machine.outbound,
        machine.node_inbound,
        machine.inbound.ip(),
        machine.readiness,
        machine.peers.port(),
        machine.store.address,
    )
}
