//! Names of the metrics; `docs/operations/agent.md` describes each.

/// Steps by `result`: `run`, `replay`, `resend` or the name of a refusal.
pub const STEPS: &str = "mustard_agent_steps_total";
/// Positions that the engine ran.
pub const POSITIONS: &str = "mustard_agent_positions_total";
/// The time that the engine takes for a step, in seconds.
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
/// Deaths of the backend server that running work noticed.
pub const SERVER_DEATHS: &str = "mustard_agent_server_deaths_total";
/// Background writes of claim rows whose outcome is not known yet.
pub const PENDING_WRITES: &str = "mustard_agent_journal";
/// Rows per transaction.
pub const BATCH_ROWS: &str = "mustard_agent_batch_rows";
/// Transactions sent to the table.
pub const TABLE_COMMITS: &str = "mustard_agent_table_commits_total";
/// Reads sent to the table.
pub const TABLE_READS: &str = "mustard_agent_table_reads_total";
/// Failed calls of the table; a read that fails beside a transaction is not counted.
pub const TABLE_FAILURES: &str = "mustard_agent_table_failures_total";
/// Claims in doubt: without a result, and past their deadline for longer than the retention time,
/// as of the last sweep.
pub const DOUBTFUL_CLAIMS: &str = "mustard_agent_doubtful_claims";
/// Orders by `result`: `done` or the name of a refusal.
pub const ORDERS: &str = "mustard_agent_orders_total";
