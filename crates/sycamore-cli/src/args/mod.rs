//! Arguments of the command line.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;
use sycamore_types::id::{MoveId, OperatorName, PlanId};

/// How answers are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    Table,
    /// JSON for programs.
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
            Exit codes: 0 done, 1 failed or not known, 2 bad input, 3 conflict, 4 not found, 5 not allowed.")
)]
pub struct Options {
    /// Operators' address of a node; may be given several times, the first that answers is used
    #[bpaf(long("node"), env("SYCAMORESHIFT_NODE"), argument("ADDR"), many)]
    pub nodes: Vec<SocketAddr>,
    /// File with the operator token; otherwise SYCAMORESHIFT_TOKEN holds it
    #[bpaf(long("token-file"), argument("FILE"), optional)]
    pub token_file: Option<PathBuf>,
    /// table or json
    #[bpaf(long("output"), argument("FORMAT"), fallback(Format::Table))]
    pub output: Format,
    /// What to do
    #[bpaf(external(command))]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check a file without a node; nothing is changed
    #[bpaf(command("check"))]
    Check(#[bpaf(external(check))] Check),
    /// Apply or show the configuration
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config))] Config),
    /// Import the planners' sheet
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
    /// Tell how each move ended and why
    #[bpaf(command("report"))]
    Report {
        /// Only moves of this plan
        #[bpaf(long("plan"), argument("PLAN"), optional)]
        plan: Option<PlanId>,
    },
    /// Take a move back at once
    #[bpaf(command("abort"))]
    Abort(#[bpaf(external(abort))] Abort),
    /// List the nodes that a node knows
    #[bpaf(command("nodes"))]
    Nodes,
    /// Show the events of all nodes given, in one order
    #[bpaf(command("timeline"))]
    Timeline(#[bpaf(external(timeline))] Timeline),
    /// Show what logs say of one request, in one order, without a node
    #[bpaf(command("trace"))]
    Trace(#[bpaf(external(trace))] Trace),
}

/// A request to look for in logs.
#[derive(Debug, Clone, Bpaf)]
pub struct Trace {
    /// The request's identifier
    #[bpaf(positional("ID"))]
    pub id: String,
    /// Files with the logs of one or more nodes
    #[bpaf(positional("FILE"), some("at least one log file must be given"))]
    pub files: Vec<PathBuf>,
}

/// What to check.
#[derive(Debug, Clone, Bpaf)]
pub enum Check {
    /// Check a node's settings file
    #[bpaf(command("settings"))]
    Settings {
        /// INI file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a sheet of release moves
    #[bpaf(command("sheet"))]
    Sheet {
        /// CSV file as the spreadsheet exports it
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a configuration
    #[bpaf(command("config"))]
    Config {
        /// JSON file with a list of resources, or a folder of such files
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
}

/// What to do with the configuration.
#[derive(Debug, Clone, Bpaf)]
pub enum Config {
    /// Make a configuration the current one, as one change
    #[bpaf(command("apply"))]
    Apply(#[bpaf(external(apply))] Apply),
    /// Show the configuration in force on a node
    #[bpaf(command("show"))]
    Show,
}

/// A configuration to apply.
#[derive(Debug, Clone, Bpaf)]
pub struct Apply {
    /// Your name, recorded with the change
    #[bpaf(long("operator"), env("USER"), argument("NAME"))]
    pub operator: OperatorName,
    /// The version that you mean to replace; a conflict where another one is current
    #[bpaf(long("expect"), argument("VERSION"), optional)]
    pub expect: Option<u64>,
    /// JSON file with a list of resources, or a folder of such files
    #[bpaf(positional("PATH"))]
    pub path: PathBuf,
}

/// What to do with a sheet.
#[derive(Debug, Clone, Bpaf)]
pub enum Sheet {
    /// Import a sheet as a plan; importing it twice is harmless
    #[bpaf(command("import"))]
    Import(#[bpaf(external(import))] Import),
}

/// A sheet to import.
#[derive(Debug, Clone, Bpaf)]
pub struct Import {
    /// Your name, recorded with the change
    #[bpaf(long("operator"), env("USER"), argument("NAME"))]
    pub operator: OperatorName,
    /// The plan's name, such as the day
    #[bpaf(long("plan"), argument("PLAN"))]
    pub plan: PlanId,
    /// CSV file as the spreadsheet exports it
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// A move to take back.
#[derive(Debug, Clone, Bpaf)]
pub struct Abort {
    /// Your name, recorded with the change
    #[bpaf(long("operator"), env("USER"), argument("NAME"))]
    pub operator: OperatorName,
    /// Why, for the report
    #[bpaf(long("reason"), argument("TEXT"), fallback("aborted by an operator".to_owned()))]
    pub reason: String,
    /// The move
    #[bpaf(positional("MOVE"))]
    pub mv: MoveId,
}

/// Which events to show.
#[derive(Debug, Clone, Bpaf)]
pub struct Timeline {
    /// Only events of this kind, such as config-applied
    #[bpaf(long("kind"), argument("KIND"), optional)]
    pub kind: Option<String>,
    /// Only events of this move
    #[bpaf(long("move"), argument("MOVE"), optional)]
    pub mv: Option<MoveId>,
    /// Only events that this instance recorded
    #[bpaf(long("instance"), argument("INSTANCE"), optional)]
    pub instance: Option<sycamore_types::id::InstanceId>,
    /// Show what the object store holds too: events of processes that are gone
    #[bpaf(long("archive"))]
    pub archive: bool,
    /// Go on showing events as they happen
    #[bpaf(long("follow"))]
    pub follow: bool,
}
