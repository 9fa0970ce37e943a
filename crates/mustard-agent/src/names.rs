//! Names of the metrics; docs/operations/agent.md describes each.

/// Steps by `result`: `run`, `replay`, `resend` or the name of a refusal.
pub const STEPS: &str = "mustard_agent_steps_total";
/// Positions that the engine ran.
pub const POSITIONS: &str = "mustard_agent_positions_total";
/// Time of a step at the engine, in seconds.
pub const ENGINE_SECONDS: &str = "mustard_agent_engine_seconds";
/// Open sessions.
pub const SESSIONS: &str = "mustard_agent_sessions";
/// Ended sessions by `why`.
pub const SESSIONS_ENDED: &str = "mustard_agent_sessions_ended_total";
/// Calls of the plain service by `result`.
pub const CALLS: &str = "mustard_agent_calls_total";
/// Refused messages by `path` and `reason`.
pub const REFUSALS: &str = "mustard_agent_refusals_total";
/// Whether the backend server answers, 0 or 1.
pub const SERVER_UP: &str = "mustard_agent_server_up";
/// Whether new work is refused, 0 or 1.
pub const LEAVING: &str = "mustard_agent_leaving";
/// Deaths of the backend server as seen by running work.
pub const SERVER_DEATHS: &str = "mustard_agent_server_deaths_total";
/// Writes behind that are not settled yet.
pub const JOURNAL: &str = "mustard_agent_journal";
/// Rows in one transaction.
pub const BATCH_ROWS: &str = "mustard_agent_batch_rows";
/// Transactions sent to the table.
pub const TABLE_COMMITS: &str = "mustard_agent_table_commits_total";
/// Reads sent to the table.
pub const TABLE_READS: &str = "mustard_agent_table_reads_total";
/// Calls of the table without a usable answer.
pub const TABLE_FAILURES: &str = "mustard_agent_table_failures_total";
/// Claims older than the retention without a result, as the last sweep found them.
pub const DOUBTFUL: &str = "mustard_agent_doubtful_claims";
/// Orders by `result`: `done` or the name of a refusal.
pub const ORDERS: &str = "mustard_agent_orders_total";
