//! Command line arguments, parsed with bpaf. Doc comments on options and commands are the `--help`
//! texts.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use sycamore_types::id::{MoveId, OperatorName, PlanId};

/// Output format of results and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables and sentences.
    Table,
    /// One JSON value per result.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            other => Err(format!("{other:?} is neither table nor json")),
        }
    }
}

/// Operate sycamoreshift through any of its nodes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Example: sycamoreshift sheet import --plan 2026-12-04 --operator ana morning.csv\n \
            Exit codes: 0 done, 1 failed or unknown, 2 bad input, 3 conflict, 4 not found, 5 unauthorized.")
)]
pub struct Options {
    /// Operator address of a node, as IP:PORT; may be repeated: the first that answers is used, and
    /// the timeline asks all
    #[bpaf(long("node"), env("SYCAMORESHIFT_NODE"), argument("ADDR"), many)]
    pub nodes: Vec<SocketAddr>,
    /// File with the operator token (default: the value of SYCAMORESHIFT_TOKEN)
    #[bpaf(long("token-file"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// Output format: table (default) or json
    #[bpaf(long("output"), argument("FORMAT"), fallback(Format::Table))]
    pub output: Format,
    /// Command to run
    #[bpaf(external(command))]
    pub command: Command,
}

/// Commands of sycamoreshift.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check a file offline; nothing is changed
    #[bpaf(command("check"))]
    Check(#[bpaf(external(check))] Check),
    /// Apply or show the configuration
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config))] Config),
    /// Import a sheet of release moves
    #[bpaf(command("sheet"))]
    Sheet(#[bpaf(external(sheet))] Sheet),
    /// List the plans
    #[bpaf(command("plan"))]
    Plan,
    /// List moves with their state and share
    #[bpaf(command("moves"))]
    Moves {
        /// Only moves of this plan
        #[bpaf(long("plan"), argument("PLAN"), optional)]
        plan: Option<PlanId>,
    },
    /// Show how each move ended and why
    #[bpaf(command("report"))]
    Report {
        /// Only moves of this plan
        #[bpaf(long("plan"), argument("PLAN"), optional)]
        plan: Option<PlanId>,
    },
    /// Take a move back at once
    #[bpaf(command("abort"))]
    Abort(#[bpaf(external(abort))] Abort),
    /// List the members known to the node
    #[bpaf(command("nodes"))]
    Nodes,
    /// Show the events of all nodes given, in order of time
    #[bpaf(command("timeline"))]
    Timeline(#[bpaf(external(timeline))] Timeline),
    /// Show the lines about one request from log files, in order of time
    #[bpaf(command("trace"))]
    Trace(#[bpaf(external(trace))] Trace),
}

/// Request to find and log files to search.
#[derive(Debug, Clone, Bpaf)]
pub struct Trace {
    /// Identifier of the request
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Log file of a node; may be repeated
    #[bpaf(positional("FILE"), some("at least one log file must be given"))]
    pub files: Vec<PathBuf>,
}

/// Kinds of files to check.
#[derive(Debug, Clone, Bpaf)]
pub enum Check {
    /// Check a settings file of a node
    #[bpaf(command("settings"))]
    Settings {
        /// Settings file, in INI format
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a sheet of release moves
    #[bpaf(command("sheet"))]
    Sheet {
        /// CSV file as exported from the spreadsheet
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check the resources of a configuration
    #[bpaf(command("config"))]
    Config {
        /// JSON file with a list of resources, or a folder of such files
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
}

/// Configuration commands.
#[derive(Debug, Clone, Bpaf)]
pub enum Config {
    /// Replace the current configuration in one atomic change
    #[bpaf(command("apply"))]
    Apply(#[bpaf(external(apply))] Apply),
    /// Show the configuration in force on a node
    #[bpaf(command("show"))]
    Show,
}

/// Configuration to apply, and the change's author.
#[derive(Debug, Clone, Bpaf)]
pub struct Apply {
    /// Your name, recorded as the author of the change
    #[bpaf(long("operator"), env("USER"), argument("NAME"))]
    pub operator: OperatorName,
    /// Version that you mean to replace; the command ends with a conflict if another is current
    #[bpaf(long("expect"), argument("VERSION"), optional)]
    pub expect: Option<u64>,
    /// JSON file with a list of resources, or a folder of such files
    #[bpaf(positional("PATH"))]
    pub path: PathBuf,
}

/// Sheet commands.
#[derive(Debug, Clone, Bpaf)]
pub enum Sheet {
    /// Import a sheet as a plan; repeating the import is safe
    #[bpaf(command("import"))]
    Import(#[bpaf(external(import))] Import),
}

/// Sheet to import, and the plan that its moves belong to.
#[derive(Debug, Clone, Bpaf)]
pub struct Import {
    /// Your name, recorded as the author of the change
    #[bpaf(long("operator"), env("USER"), argument("NAME"))]
    pub operator: OperatorName,
    /// Name of the plan, for example its date
    #[bpaf(long("plan"), argument("PLAN"))]
    pub plan: PlanId,
    /// CSV file as exported from the spreadsheet
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Move to take back, and the reason.
#[derive(Debug, Clone, Bpaf)]
pub struct Abort {
    /// Your name, recorded as the author of the change
    #[bpaf(long("operator"), env("USER"), argument("NAME"))]
    pub operator: OperatorName,
    /// Reason to show in the report
    #[bpaf(long("reason"), argument("TEXT"), fallback("aborted by an operator".to_owned()))]
    pub reason: String,
    /// Identifier of the move
    #[bpaf(positional("MOVE"))]
    pub mv: MoveId,
}

/// Filters and sources of the events.
#[derive(Debug, Clone, Bpaf)]
pub struct Timeline {
    /// Only events of this kind, such as config-applied
    #[bpaf(long("kind"), argument("KIND"), optional)]
    pub kind: Option<String>,
    /// Only events about this move
    #[bpaf(long("move"), argument("MOVE"), optional)]
    pub mv: Option<MoveId>,
    /// Only events that this instance recorded
    #[bpaf(long("instance"), argument("INSTANCE"), optional)]
    pub instance: Option<sycamore_types::id::InstanceId>,
    /// Include the events archived in the object store, also those of ended processes
    #[bpaf(long("archive"))]
    pub archive: bool,
    /// Keep running and show new events as they are recorded
    #[bpaf(long("follow"))]
    pub follow: bool,
}
