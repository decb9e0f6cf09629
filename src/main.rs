//! wallstile: a cluster scheduler.

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use wallstile::{config, logging, net};

#[derive(Parser)]
#[command(version, about = "A cluster scheduler. Runs one controller until it is killed.")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// Settings of the platform (JSON)
    #[arg(long, value_name = "FILE")]
    config: Option<String>,
    /// Settings of the operators (XML)
    #[arg(long, value_name = "FILE", global = true)]
    tuning: Option<String>,
}

#[derive(Subcommand)]
enum Command {
    /// Check settings without starting
    Check {
        /// Settings of the platform (JSON)
        file: String,
    },
}

/// The error that the program ends with.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// No settings file is given.
    #[error("no settings file: pass --config FILE")]
    NoSettings,
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// A listener failed.
    #[error(transparent)]
    Listener(#[from] net::server::ServeError),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match level.as_str() {
        "error" | "warn" | "info" | "debug" => level,
        other => {
            eprintln!("wallstile: LOG_LEVEL must be error, warn, info or debug, not {other:?}");
            return ExitCode::from(2);
        }
    };
    logging::init(&level);
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wallstile: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), RunError> {
    let tuning = match &cli.tuning {
        Some(path) => config::Tuning::load(path)?,
        None => config::Tuning::default(),
    };
    if let Some(Command::Check { file }) = &cli.command {
        let settings = config::Settings::load(file)?;
        println!("{file}: ok, controller {} of {}", settings.name, settings.peers.len() + 1);
        return Ok(());
    }
    let path = cli.config.ok_or(RunError::NoSettings)?;
    let settings = config::Settings::load(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().max_blocking_threads(1).build()?;
    runtime.block_on(async {
        let node = net::node::Node::new(settings, tuning);
        log::info!("starting {} on {}", node.settings.name, node.settings.listen_addr);
        tokio::spawn(net::leader_loop::poll_machine_types(node.clone()));
        tokio::spawn(net::election::run(node.clone()));
        tokio::spawn(net::heartbeat_relay::run(node.clone()));
        tokio::spawn(net::relay_routes::run(node.clone()));
        tokio::spawn(net::load_log::run(node.clone()));
        let sockets = node.settings.socket_budget();
        let users =
            net::server::serve(node.settings.listen_addr, net::server::public_router(&node), sockets.public_listener);
        let peers = net::server::serve(
            node.settings.peer_listen_addr,
            net::server::internal_router(&node),
            sockets.peer_listener,
        );
        // A listener ends only with an error.
        let ended = tokio::select! { result = users => result, result = peers => result };
        Ok(ended?)
    })
}
