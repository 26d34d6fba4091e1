//! Command line of `olivegate-bench`.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use pico_args::Arguments;

use crate::arms::Arm;
use crate::checker;
use crate::error::BenchError;
use crate::experiment::{ArmResult, Experiment};
use crate::history::History;
use crate::summary::Summary;
use crate::{back_ends, forwarder, report, scenario, soak};

/// Text of `--help`.
const HELP: &str = "\
olivegate-bench - emulated back ends, load, failures and history checks

USAGE
  olivegate-bench run --deployment ramdin-freres|cuenca --scenario NAME --seed N
                      --seconds T --out DIR [--arms olivegate,direct,pass-through]
                      [--examples DIR]
      Run a scenario; writes summary.json, history-ARM.json and report.html,
      prints a table, exits 1 when a promise was broken.
  olivegate-bench check DIR
      Check the histories in DIR again.
  olivegate-bench soak --deployment ramdin-freres|cuenca --seconds T --seed N --out DIR
                       [--only N,N,..] [--planned] [--kinds NAME,..] [--gap T] [--load F] [--examples DIR]
      Run a sidecar process beside each emulated instance under random faults and check
      the promises. --only keeps these faults of the plan; --planned draws only planned
      operations, --kinds only faults of these kinds, such as Pause, --gap the mean
      seconds between faults (2). --load is the usual load as a fraction of what the
      slots can serve (0.5). Writes plan.txt, violations.txt, traces.txt (log lines of
      the requests that the violations are about) and the logs; exits 1 on a broken
      promise.
  olivegate-bench scenarios
      List the scenarios.
  olivegate-bench node ... | sidecar ...
      As 'olivegate node ...' and 'olivegate sidecar ...'; used for the nodes of an
      experiment or a soak.
";

/// Runs the command that the arguments name and returns its exit code.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    if arguments.first().is_some_and(|first| first == "node" || first == "sidecar") {
        return olivegate::run(arguments);
    }
    match execute(Arguments::from_vec(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("olivegate-bench: {error}");
            ExitCode::from(if matches!(error, BenchError::Usage(_)) { 2 } else { 1 })
        }
    }
}

fn usage_error(error: impl ToString) -> BenchError {
    BenchError::Usage(error.to_string())
}

fn execute(mut arguments: Arguments) -> Result<(), BenchError> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("olivegate-bench {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = arguments.subcommand().map_err(usage_error)?.unwrap_or_default();
    match command.as_str() {
        "run" => run_experiment(arguments),
        "check" => check(&arguments.free_from_str::<PathBuf>().map_err(usage_error)?),
        "soak" => soak::command(arguments),
        "scenarios" => {
            scenario::NAMES.iter().for_each(|name| println!("{name}"));
            Ok(())
        }
        "back-ends" => {
            let spec: PathBuf = arguments.value_from_str("--spec").map_err(usage_error)?;
            let seed = arguments.value_from_str("--seed").map_err(usage_error)?;
            back_ends::run(&spec, seed)
        }
        "forwarder" => forwarder::run(&arguments.value_from_str::<_, PathBuf>("--table").map_err(usage_error)?),
        other => Err(BenchError::Usage(format!("unknown command '{other}'"))),
    }
}

fn run_experiment(mut arguments: Arguments) -> Result<(), BenchError> {
    let deployment: String = arguments.value_from_str("--deployment").map_err(usage_error)?;
    let scenario: String = arguments.value_from_str("--scenario").map_err(usage_error)?;
    let seed: u64 = arguments.value_from_str("--seed").map_err(usage_error)?;
    let seconds: f64 = arguments.value_from_str("--seconds").map_err(usage_error)?;
    let out: PathBuf = arguments.value_from_str("--out").map_err(usage_error)?;
    let arms: Option<String> = arguments.opt_value_from_str("--arms").map_err(usage_error)?;
    let examples: PathBuf = arguments
        .opt_value_from_str("--examples")
        .map_err(usage_error)?
        .unwrap_or_else(|| PathBuf::from("examples"));
    let unexpected = arguments.finish();
    if !unexpected.is_empty() {
        return Err(BenchError::Usage(format!("unexpected arguments {unexpected:?}")));
    }
    if !(1.0..=3_600.0).contains(&seconds) {
        return Err(BenchError::Usage("--seconds must be from 1 to 3600".into()));
    }
    let experiment = Experiment::read(&examples, &deployment, &scenario, seed, seconds, out)?;
    let arms = selected_arms(arms.as_deref(), experiment.scenario.with_baselines)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|error| BenchError::Process(error.to_string()))?;
    let mut results = Vec::new();
    for arm in arms {
        results.push(runtime.block_on(experiment.run(arm))?);
    }
    write_results(&experiment, &results)
}

fn selected_arms(names: Option<&str>, with_baselines: bool) -> Result<Vec<Arm>, BenchError> {
    let Some(names) = names else {
        return Ok(if with_baselines { Arm::ALL.to_vec() } else { vec![Arm::Olivegate] });
    };
    let arm = |name| Arm::by_name(name).ok_or_else(|| BenchError::Usage(format!("unknown arm '{name}'")));
    names.split(',').map(arm).collect()
}

fn write_results(experiment: &Experiment, results: &[ArmResult]) -> Result<(), BenchError> {
    for result in results {
        let text = serde_json::to_string(&result.history).unwrap_or_default();
        let file = experiment.out.join(format!("history-{}.json", result.arm.name()));
        std::fs::write(file, text).map_err(|error| BenchError::File(error.to_string()))?;
    }
    let summary = Summary::from_results(experiment, results);
    summary.write(&experiment.out)?;
    report::write(experiment, results, &experiment.out)?;
    println!("{}", summary.table());
    if summary.violations.is_empty() { Ok(()) } else { Err(BenchError::Violations(summary.violations.len())) }
}

fn check(directory: &Path) -> Result<(), BenchError> {
    let mut violation_count = 0;
    let mut checked = 0;
    for arm in Arm::ALL {
        let file = directory.join(format!("history-{}.json", arm.name()));
        let Ok(text) = std::fs::read_to_string(&file) else {
            continue;
        };
        let history: History = serde_json::from_str(&text)
            .map_err(|error| BenchError::File(format!("file={} {error}", file.display())))?;
        let violations = checker::check(&history);
        checked += 1;
        println!("arm={} calls={} violations={}", arm.name(), history.calls.len(), violations.len());
        for violation in &violations {
            println!("  {:?} {}", violation.promise, violation.detail);
        }
        violation_count += violations.len();
    }
    if checked == 0 {
        return Err(BenchError::File(format!("no history file in {}", directory.display())));
    }
    if violation_count == 0 { Ok(()) } else { Err(BenchError::Violations(violation_count)) }
}
