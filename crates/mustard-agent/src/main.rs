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
    let code = run::run(settings).await?;
    Ok(ExitCode::from(code))
}
