//! The program `mustard-agent`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use mustard_agent::run;
use mustard_agent::settings::AgentSettings;
use mustard_net::settings;

/// Runs beside one backend server: steps at a model engine, or calls of a plain service.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example: mustard-agent --config examples/config/agent-stage.toml"
)]
struct Options {
    /// The settings file, in TOML.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Checks the settings file and exits.
    #[arg(long)]
    check: bool,
}

/// The exit code if the settings can't be loaded.
const EXIT_SETTINGS: u8 = 2;

#[ntex::main]
async fn main() -> anyhow::Result<ExitCode> {
    let options = Options::parse();
    let settings = match settings::load::<AgentSettings>(&options.config) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_SETTINGS));
        }
    };
    if options.check {
        println!("{}: settings are valid", options.config.display());
        println!(
            "held for clients by each thread: {}",
            settings.client_limits()
        );
        return Ok(ExitCode::SUCCESS);
    }
    let code = run::run(settings).await?;
    Ok(ExitCode::from(code))
}
