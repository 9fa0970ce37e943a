//! Implements `mustardctl status`.

use mustard_proto::admin::{AgentStatus, Status};
use mustard_proto::agent::Role;

use crate::cli::{Cli, OutputFormat};
use crate::client::AdminClient;
use crate::errors::Result;
use crate::output::{self, Table};

/// Prints the state of the system as one entry process sees it.
pub(super) async fn run(cli: &Cli, client: &AdminClient) -> Result<()> {
    let status: Status = client.get("/admin/status").await?;
    match cli.output {
        OutputFormat::Json => output::print_json(&status),
        OutputFormat::Table => output::print_text(&format_status(&status)),
    }
}

fn format_status(status: &Status) -> String {
    let confirmed = match status.confirmed_ms {
        Some(ms) => format!("{ms} ms ago"),
        None => "never".to_owned(),
    };
    let mut text = format!(
        "{} at {} in {}: {}, {} requests in flight\ncatalogue at change {} (newest seen {}), confirmed {confirmed}\n\n",
        status.name,
        status.addr,
        status.domain,
        format!("{:?}", status.state).to_lowercase(),
        status.running,
        status.seq,
        status.newest,
    );
    let mut entries = Table::new(&["ENTRY", "ADDRESS", "DOMAIN"]);
    for peer in &status.entries {
        let addr = peer.addr.to_string();
        entries.add_row(vec![peer.name.clone(), addr, peer.domain.clone()]);
    }
    text.push_str(&entries.to_text());
    text.push('\n');
    let mut agents = Table::new(&[
        "AGENT", "ADDRESS", "DOMAIN", "STATE", "ROLE", "RUNNING", "QUEUED", "STEP US", "HEARD MS",
    ]);
    for agent in &status.agents {
        agents.add_row(agent_row(agent));
    }
    text.push_str(&agents.to_text());
    text
}

fn agent_row(agent: &AgentStatus) -> Vec<String> {
    let state = agent.state.map(|s| format!("{s:?}").to_lowercase());
    vec![
        agent.name.clone(),
        agent.addr.to_string(),
        agent.domain.clone(),
        state.unwrap_or_else(|| "unknown".to_owned()),
        agent.role.as_ref().map(format_role).unwrap_or_default(),
        agent.load.running.to_string(),
        agent.load.queued.to_string(),
        agent.load.step_us.to_string(),
        agent.heard_ms.map(|ms| ms.to_string()).unwrap_or_default(),
    ]
}

fn format_role(role: &Role) -> String {
    match role {
        Role::Stage { model, layers, .. } => format!("{model} layers {layers}"),
        Role::Service { service } => format!("service {service}"),
        Role::Idle => "idle".to_owned(),
    }
}
