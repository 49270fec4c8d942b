//! What each series means, for Prometheus' `# HELP` lines.

/// Series and their meanings.
const HELP: [(&str, &str); 12] = [
    (
        "lentillift_backends_cold",
        "Backend servers owned here that do not have their full share yet.",
    ),
    (
        "lentillift_backends_owned",
        "Backend servers owned here that have been sent work.",
    ),
    (
        "lentillift_dispatches_total",
        "Requests sent to a backend server by its owner.",
    ),
    ("lentillift_queries_waiting", "Queries whose callers wait."),
    (
        "lentillift_query_seconds",
        "Time from a query's arrival to its answer, over the last one to two minutes.",
    ),
    (
        "lentillift_queue",
        "Sub-requests that wait for the backend servers owned here.",
    ),
    (
        "lentillift_ready",
        "Whether the process serves callers: 1 or 0.",
    ),
    (
        "lentillift_refusals_total",
        "Queries that were refused, by cause.",
    ),
    (
        "lentillift_revision",
        "Revision in force, by kind of published value.",
    ),
    (
        "lentillift_series_dropped_total",
        "Additions to series beyond the bound of one name.",
    ),
    (
        "lentillift_shards_answered_total",
        "Shards whose reply is in an answer.",
    ),
    (
        "lentillift_shards_total",
        "Shards that answered queries were to cover.",
    ),
];

/// What a series means; one that is not listed here gets a line that says so.
pub fn help(name: &str) -> &'static str {
    let found = HELP.iter().find(|(known, _)| *known == name);
    found.map_or("No description yet.", |(_, help)| help)
}
