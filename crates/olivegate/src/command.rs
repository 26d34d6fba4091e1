//! Parsing of the command line.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use log::LevelFilter;
use olivegate_node::settings::Overrides;
use pico_args::Arguments;

/// Text of `--help`.
const HELP: &str = "\
olivegate - overload control for service call graphs

USAGE
  olivegate node --settings FILE [--node NAME] [--zone NAME] [--caller ADDR]
                 [--data ADDR] [--control ADDR] [--admin ADDR]
                 [--new-deployment] [--log-level LEVEL]
      Run a node. Flags go before the file. --new-deployment states that no
      request was ever served before; use it for the very first start only.
  olivegate sidecar --settings FILE [--log-level LEVEL]
      Run a node beside one instance, on the users' platform.
  olivegate sidecar check FILE
      Check a sidecar's settings file; every mistake is named.
  olivegate logs explain REQUEST_ID FILE...
      Print the story of a request from the logs of many nodes.
  olivegate logs summary FILE...
      Count refusals and failures by second, route and cause.
  olivegate settings check FILE
      Check a settings file; every mistake is named.
  olivegate bundle check FILE
      Check a bundle, in TOML or signed form.
  olivegate bundle sign FILE --key KEYFILE --out SIGNED
      Sign a bundle; adds the signature when SIGNED already holds this version.
  olivegate bundle diff OLD NEW
      Print the changes from OLD to NEW.
  olivegate bundle key --key KEYFILE
      Print the public key of a signing key (64 hexadecimal digits).
  olivegate status --admin ADDR
      Print what a node shows of itself, as JSON.
  olivegate explain REQUEST_ID --admin ADDR
      Print what the nodes decided about a request.
  olivegate --help | --version

EXIT CODES
  0 done, 1 failed, 2 the command line can't be understood
";

/// A parsed command line.
#[derive(Debug)]
pub enum Command {
    /// Print help.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Run a node.
    Node {
        /// Settings file.
        settings: PathBuf,
        /// Flags that take precedence over the settings file.
        overrides: Overrides,
        /// Least severe level that is logged.
        log_level: LevelFilter,
    },
    /// Print the log lines about a request.
    LogsExplain {
        /// Id of the request, or digest of a content.
        request: String,
        /// Log files of nodes.
        files: Vec<PathBuf>,
    },
    /// Count refusals and failures in logs.
    LogsSummary {
        /// Log files of nodes.
        files: Vec<PathBuf>,
    },
    /// Run a sidecar.
    Sidecar {
        /// Settings file.
        settings: PathBuf,
        /// Least severe level that is logged.
        log_level: LevelFilter,
    },
    /// Check a sidecar's settings file.
    SidecarCheck {
        /// The file.
        file: PathBuf,
    },
    /// Check a node's settings file.
    SettingsCheck {
        /// The file.
        file: PathBuf,
    },
    /// Check a bundle.
    BundleCheck {
        /// The file.
        file: PathBuf,
    },
    /// Sign a bundle.
    BundleSign {
        /// Bundle in TOML or signed form.
        file: PathBuf,
        /// File of the secret key.
        key: PathBuf,
        /// Signed bundle to write.
        out: PathBuf,
    },
    /// Compare two bundles.
    BundleDiff {
        /// Old version.
        old: PathBuf,
        /// New version.
        new: PathBuf,
    },
    /// Print a public key.
    BundleKey {
        /// File of the secret key.
        key: PathBuf,
    },
    /// Print a node's status.
    Status {
        /// Admin address.
        admin: SocketAddr,
    },
    /// Print what the nodes decided about a request.
    Explain {
        /// Id of the request.
        request: String,
        /// Admin address.
        admin: SocketAddr,
    },
}

/// Why a command line can't be parsed.
#[derive(Debug)]
pub enum UsageError {
    /// A flag or value is missing or invalid.
    Arguments(pico_args::Error),
    /// No command, or an unknown one.
    UnknownCommand(String),
    /// Arguments remain after the command.
    Unexpected(Vec<OsString>),
}

impl fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsageError::Arguments(error) => write!(formatter, "{error}"),
            UsageError::UnknownCommand(command) if command.is_empty() => {
                formatter.write_str("a command is missing")
            }
            UsageError::UnknownCommand(command) => write!(formatter, "there is no command '{command}'"),
            UsageError::Unexpected(rest) => write!(formatter, "unexpected arguments {rest:?}"),
        }
    }
}

impl From<pico_args::Error> for UsageError {
    fn from(error: pico_args::Error) -> Self {
        UsageError::Arguments(error)
    }
}

impl Command {
    /// Parses the arguments after the program's name.
    pub fn parse(arguments: Vec<OsString>) -> Result<Self, UsageError> {
        let mut arguments = Arguments::from_vec(arguments);
        if arguments.contains("--help") {
            return Ok(Command::Help(HELP));
        }
        if arguments.contains("--version") {
            return Ok(Command::Version);
        }
        let command = parse_command(&mut arguments)?;
        let rest = arguments.finish();
        if rest.is_empty() { Ok(command) } else { Err(UsageError::Unexpected(rest)) }
    }
}

fn parse_command(arguments: &mut Arguments) -> Result<Command, UsageError> {
    let name = arguments.subcommand()?.unwrap_or_default();
    match name.as_str() {
        "node" => parse_node(arguments),
        "sidecar" => parse_sidecar(arguments),
        "logs" => parse_logs(arguments),
        "settings" => match subcommand(arguments)?.as_str() {
            "check" => Ok(Command::SettingsCheck { file: arguments.free_from_str()? }),
            other => Err(UsageError::UnknownCommand(format!("settings {other}"))),
        },
        "bundle" => parse_bundle(arguments),
        "status" => Ok(Command::Status { admin: arguments.value_from_str("--admin")? }),
        "explain" => {
            let admin = arguments.value_from_str("--admin")?;
            Ok(Command::Explain { request: arguments.free_from_str()?, admin })
        }
        other => Err(UsageError::UnknownCommand(other.to_string())),
    }
}

fn subcommand(arguments: &mut Arguments) -> Result<String, UsageError> {
    Ok(arguments.subcommand()?.unwrap_or_default())
}

fn parse_node(arguments: &mut Arguments) -> Result<Command, UsageError> {
    Ok(Command::Node {
        settings: arguments.value_from_str("--settings")?,
        overrides: Overrides {
            node: arguments.opt_value_from_str("--node")?,
            zone: arguments.opt_value_from_str("--zone")?,
            caller: arguments.opt_value_from_str("--caller")?,
            data: arguments.opt_value_from_str("--data")?,
            control: arguments.opt_value_from_str("--control")?,
            admin: arguments.opt_value_from_str("--admin")?,
            new_deployment: arguments.contains("--new-deployment"),
        },
        log_level: arguments.opt_value_from_str("--log-level")?.unwrap_or(LevelFilter::Info),
    })
}

fn parse_sidecar(arguments: &mut Arguments) -> Result<Command, UsageError> {
    match subcommand(arguments)?.as_str() {
        "check" => Ok(Command::SidecarCheck { file: arguments.free_from_str()? }),
        "" => Ok(Command::Sidecar {
            settings: arguments.value_from_str("--settings")?,
            log_level: arguments.opt_value_from_str("--log-level")?.unwrap_or(LevelFilter::Info),
        }),
        other => Err(UsageError::UnknownCommand(format!("sidecar {other}"))),
    }
}

fn parse_logs(arguments: &mut Arguments) -> Result<Command, UsageError> {
    let command = subcommand(arguments)?;
    let request = match command.as_str() {
        "explain" => Some(arguments.free_from_str()?),
        "summary" => None,
        other => return Err(UsageError::UnknownCommand(format!("logs {other}"))),
    };
    let mut files = vec![arguments.free_from_str()?];
    while let Some(file) = arguments.opt_free_from_str()? {
        files.push(file);
    }
    Ok(match request {
        Some(request) => Command::LogsExplain { request, files },
        None => Command::LogsSummary { files },
    })
}

fn parse_bundle(arguments: &mut Arguments) -> Result<Command, UsageError> {
    match subcommand(arguments)?.as_str() {
        "check" => Ok(Command::BundleCheck { file: arguments.free_from_str()? }),
        "sign" => {
            let key = arguments.value_from_str("--key")?;
            let out = arguments.value_from_str("--out")?;
            Ok(Command::BundleSign { file: arguments.free_from_str()?, key, out })
        }
        "diff" => Ok(Command::BundleDiff { old: arguments.free_from_str()?, new: arguments.free_from_str()? }),
        "key" => Ok(Command::BundleKey { key: arguments.value_from_str("--key")? }),
        other => Err(UsageError::UnknownCommand(format!("bundle {other}"))),
    }
}
