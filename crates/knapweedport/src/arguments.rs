//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::{Args, Bpaf, ParseFailure};

use crate::exit::USAGE_ERROR_CODE;

const HELP_WIDTH: usize = 100;
/// DNS name that every certificate issued by `knapweedport keys` contains in addition to its
/// host name.
const DEFAULT_SERVER_NAME: &str = "router.knapweedport.internal";
const PROGRAM_NAME: &str = "knapweedport";

const HELP_FOOTER: &str = "Examples:
  knapweedport check --settings router.toml --tables tables.toml
  knapweedport router --settings router.toml
  knapweedport pool show assistant --router 127.0.0.1:8081
  knapweedport pool put --file pool.toml --if-version 12 --reason \"school term\"
  knapweedport explain 0123456789abcdef0123456789abcdef --router 127.0.0.1:8081
  knapweedport explain --logs edge-1.log --logs edge-2.log 9c41d07be2a35f68

Exit codes: 0 success, 1 failure, 2 invalid arguments, 3 faults found, 4 router unavailable, 5 token rejected, 6 version conflict, 7 not found, 8 edit outcome unknown.";

/// Routes language-model requests and at-most-once calls to their targets.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(HELP_FOOTER), generate(command_options))]
pub(crate) enum Command {
    /// Runs a router until SIGTERM or SIGINT.
    #[bpaf(command)]
    Router {
        /// Settings file in TOML.
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs a gateway, a router that forwards to the users' runners, until SIGTERM or SIGINT.
    #[bpaf(command)]
    Gateway {
        /// Settings file in TOML.
        #[bpaf(argument("FILE"), env("KNAPWEEDPORT_SETTINGS"))]
        settings: PathBuf,
    },
    /// Validates settings and table files and reports every fault, without starting anything.
    #[bpaf(command)]
    Check {
        /// Settings file in TOML; may be given several times.
        #[bpaf(argument("FILE"))]
        settings: Vec<PathBuf>,
        /// Settings file of a gateway in TOML; may be given several times.
        #[bpaf(argument("FILE"))]
        gateway: Vec<PathBuf>,
        /// File with table rows in TOML; may be given several times, all are checked together.
        #[bpaf(argument("FILE"))]
        tables: Vec<PathBuf>,
    },
    /// Lists, shows and edits rows of the routes table.
    #[bpaf(command)]
    Route(#[bpaf(external(row_command))] RowCommand),
    /// Lists, shows and edits rows of the pools table.
    #[bpaf(command)]
    Pool(#[bpaf(external(row_command))] RowCommand),
    /// Explains a router's decisions about a request.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command))] ExplainCommand),
    /// Shows the audit trail: who changed what, when and why.
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        remote_options: RemoteOptions,
        /// Shows entries of one row only, such as `pools/assistant`.
        #[bpaf(argument("ROW"), optional)]
        row: Option<String>,
    },
    /// Shows the state of a router.
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        remote_options: RemoteOptions,
    },
    /// Creates a fleet certificate authority and host certificates; only the owner can read keys.
    #[bpaf(command)]
    Keys {
        /// Output folder; an existing authority in it is reused.
        #[bpaf(argument("FOLDER"))]
        out: PathBuf,
        /// Names of the hosts.
        #[bpaf(positional("HOST"), some("name at least one host"))]
        hosts: Vec<String>,
    },
    /// Prints a completion script for a shell: bash, zsh, fish or elvish.
    #[bpaf(command)]
    Completions {
        /// Shell: bash, zsh, fish or elvish.
        #[bpaf(positional("SHELL"))]
        shell: String,
    },
}

/// Source of an explanation: saved logs or a running router.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum ExplainCommand {
    /// Explains a call from saved gateway logs.
    Logs {
        /// File with saved log lines of a gateway; may be given several times.
        #[bpaf(argument("FILE"), some("name at least one file"))]
        logs: Vec<PathBuf>,
        /// Call id that the caller set.
        #[bpaf(positional("CALL"))]
        call: String,
    },
    /// Explains a request by querying a router.
    Remote {
        #[bpaf(external)]
        remote_options: RemoteOptions,
        /// Request id from the `x-request-id` response header.
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}

/// Operation on the rows of a table.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum RowCommand {
    /// Lists the rows with their versions.
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        remote_options: RemoteOptions,
    },
    /// Prints a row as TOML, with its version in a comment.
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        remote_options: RemoteOptions,
        /// Name of the row.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Creates a row from a TOML file, or replaces the row that has the given version.
    #[bpaf(command)]
    Put {
        #[bpaf(external)]
        remote_options: RemoteOptions,
        /// TOML file with exactly one row; `-` reads standard input.
        #[bpaf(argument("FILE"))]
        file: PathBuf,
        /// Current version of the row; omit to create the row.
        #[bpaf(argument("VERSION"), optional)]
        if_version: Option<u64>,
        /// Reason for the change, recorded in the audit trail.
        #[bpaf(argument("TEXT"))]
        reason: String,
    },
    /// Deletes the row of the given version.
    #[bpaf(command)]
    Delete {
        #[bpaf(external)]
        remote_options: RemoteOptions,
        /// Current version of the row.
        #[bpaf(argument("VERSION"))]
        if_version: u64,
        /// Reason for the change, recorded in the audit trail.
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Name of the row.
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Router to connect to, and the credentials to use.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct RemoteOptions {
    /// Address of the router's operator port.
    #[bpaf(argument("ADDRESS"), env("KNAPWEEDPORT_ROUTER"))]
    pub(crate) router: SocketAddr,
    /// File that contains the operator's token.
    #[bpaf(argument("FILE"), env("KNAPWEEDPORT_TOKEN_FILE"), optional)]
    pub(crate) token_file: Option<PathBuf>,
    /// Certificate of the authority that signed the router's certificate; enables TLS.
    #[bpaf(argument("FILE"), env("KNAPWEEDPORT_CA"), optional)]
    pub(crate) ca: Option<PathBuf>,
    /// Server name that the router's certificate must contain.
    #[bpaf(argument::<String>("NAME"), map(Into::into), fallback(DEFAULT_SERVER_NAME.into()), display_fallback)]
    pub(crate) server_name: Box<str>,
}

/// Parses the process's arguments; `Err` is the exit code after help or a usage error was printed.
pub(crate) fn parse_arguments() -> Result<Command, ExitCode> {
    let failure = match command_options().run_inner(Args::current_args().set_name(PROGRAM_NAME)) {
        Ok(command) => return Ok(command),
        Err(failure) => failure,
    };
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Err(ExitCode::from(USAGE_ERROR_CODE)),
        _ => Err(ExitCode::SUCCESS),
    }
}

/// Prints a completion script and exits the process; returns only if the shell is unknown.
pub(crate) fn print_completions(shell: &str) {
    let arguments: &'static [&'static str] = match shell {
        "bash" => &["--bpaf-complete-style-bash"],
        "zsh" => &["--bpaf-complete-style-zsh"],
        "fish" => &["--bpaf-complete-style-fish"],
        "elvish" => &["--bpaf-complete-style-elvish"],
        _ => return,
    };
    // The parser exits the process after printing the script.
    let _ = command_options().run_inner(Args::from(arguments).set_name(PROGRAM_NAME));
}
