//! The kinds of faults that a soak injects.

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Responds with 503.
    Busy,
    /// Responds with 429.
    Throttling,
    /// Accepts requests and never responds.
    Silent,
    /// Closes connections.
    Resetting,
    /// Compacts its history, so that watches have to start again from a full read.
    Compacted,
    /// Doesn't respond, and the entries of running instances expire meanwhile.
    Lapsed,
}

/// How the network link to a machine misbehaves. It affects connections to the machine and all datagrams to
/// and from it; the machine's own connections to others still work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Everything is held back, as if segments were lost.
    Silent,
    /// Only what the machine sends back is held back.
    OneWay,
    /// Everything is delayed by tens of milliseconds.
    Slow,
    /// Connections are reset repeatedly.
    Reset,
}

/// How an instance misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceFault {
    /// Runs requests but loses the responses.
    AnswersLost,
    /// Sends a second, wrong response before the right one.
    SurplusAnswers,
    /// Closes the connection in the middle of a response.
    BreaksOff,
    /// Fails requests while its health check passes.
    Failing,
    /// Takes several times as long to run a request.
    Slow,
    /// Stops responding.
    Hanging,
    /// Resets idle connections when the next request arrives.
    ForgetsConnections,
    /// Runs requests and responds with a status which promises that they have not run.
    PromisesWrongly,
    /// Responds to requests with a success that it does not sign.
    LeavesUnsigned,
    /// Refuses requests that are meant for it without running them, and says so, with each status that it may use.
    Refusing,
}

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The process is killed, and started again at the end of the fault.
    Kill,
    /// The process is stopped with SIGSTOP and continued at the end.
    Pause,
    /// The process gets SIGTERM and is started again once it has exited.
    Stop,
    /// The process reloads its settings.
    Reload,
    /// All processes are killed at once.
    KillAll,
    /// The link to the machine misbehaves.
    Link(LinkFault),
    /// The store misbehaves for all machines.
    Store(StoreFault),
    /// The store misbehaves for this machine only.
    StoreOfMachine(StoreFault),
    /// The machine's instance misbehaves.
    Instance(InstanceFault),
    /// The machine's instance crashes and another replaces it.
    InstanceRestarts,
    /// The machine's instance announces in the store that it drains, exits later, and another replaces it.
    InstanceLeaves,
    /// All open connections between machines and to the store fall silent for good; new ones work.
    OpenConnectionsSilent,
    /// Clients send several times as many requests.
    Burst,
    /// The operator publishes a new configuration.
    Configuration,
    /// The operator publishes configurations in quick succession.
    ConfigurationStorm,
    /// Watches of the store get no events, then the store compacts its history. Nothing else is disturbed:
    /// all other requests to the store are served.
    StoreDeaf,
    /// The store fails and comes back from a backup.
    StoreRestored {
        /// Age of the backup when the store fails, in milliseconds.
        copy_age_ms: u32,
    },
    /// The machine's instance declares a rate in its responses, and a different one after half of the time.
    NamesRate {
        /// The two rates in turn, in tenths of a request per second.
        tenths: [u32; 2],
    },
    /// The machine's instance announces only in its responses that it leaves, continues to serve for a while,
    /// and another replaces it.
    SaysLeaving,
    /// Requests with the same content crash every instance that runs them. They are sent through the nodes
    /// of this machine's service.
    DeadlyRequests {
        /// They are POST requests with a body, which may run only once.
        with_body: bool,
    },
}

impl FaultKind {
    /// True for routine operations, which must not cut off any request.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            FaultKind::Stop
                | FaultKind::Reload
                | FaultKind::InstanceLeaves
                | FaultKind::NamesRate { .. }
                | FaultKind::SaysLeaving
                | FaultKind::Configuration
                | FaultKind::ConfigurationStorm
        )
    }

    /// True if the fault hits the whole deployment and not one machine.
    pub fn is_cluster_wide(self) -> bool {
        matches!(
            self,
            FaultKind::KillAll
                | FaultKind::Store(_)
                | FaultKind::StoreDeaf
                | FaultKind::StoreRestored { .. }
                | FaultKind::OpenConnectionsSilent
                | FaultKind::Burst
        )
    }
}
