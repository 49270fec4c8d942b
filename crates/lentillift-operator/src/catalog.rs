//! Descriptions of metrics, for the `# HELP` lines of the Prometheus text format.

/// Names of metrics and their descriptions.
const HELP: &[(&str, &str)] = &[
    (
        "lentillift_actions_total",
        "Requests that may run at most once, by outcome.",
    ),
    (
        "lentillift_admission_refused_total",
        "Queries refused at admission, before any sub-request was sent.",
    ),
    (
        "lentillift_backend_chilled_total",
        "Times that a backend server was held to be cold again.",
    ),
    (
        "lentillift_backend_leaving_total",
        "Times that a backend server said that it is leaving.",
    ),
    (
        "lentillift_backend_limit_fell_total",
        "Times that a backend server's limit fell because it was slow.",
    ),
    (
        "lentillift_backend_limit_rose_total",
        "Times that a backend server's limit rose again.",
    ),
    (
        "lentillift_backend_paused_total",
        "Times that a backend server was given nothing because it failed.",
    ),
    (
        "lentillift_backend_warm_total",
        "Times that a backend server reached its full share.",
    ),
    (
        "lentillift_backend_well_total",
        "Times that a backend server was given work again after it failed.",
    ),
    (
        "lentillift_backends_cold",
        "Backend servers owned here that do not have their full share yet.",
    ),
    (
        "lentillift_backends_owned",
        "Backend servers owned here that have been sent work.",
    ),
    (
        "lentillift_coalesced_total",
        "Queries that shared the run of an identical one.",
    ),
    (
        "lentillift_claims_total",
        "Leases claimed or renewed, counted once for each guardian asked.",
    ),
    (
        "lentillift_datagram_bytes_total",
        "Bytes in datagrams of the membership protocol, by direction.",
    ),
    (
        "lentillift_datagrams_bad_total",
        "Datagrams that could not be made or made sense of.",
    ),
    (
        "lentillift_datagrams_total",
        "Datagrams of the membership protocol, by direction.",
    ),
    (
        "lentillift_dispatches_total",
        "Requests sent to a backend server by its owner.",
    ),
    (
        "lentillift_fresh_starts_total",
        "Queries started anew because a shard had dropped the snapshot.",
    ),
    (
        "lentillift_gateway_age_seconds",
        "Age of what is believed of the published state, in seconds; -1 before the first news.",
    ),
    (
        "lentillift_gateway_backend_connections_idle",
        "Connections to backend servers without a request.",
    ),
    (
        "lentillift_gateway_backend_connections_opened",
        "Connections to backend servers opened since the start.",
    ),
    (
        "lentillift_gateway_bodies_given_up",
        "Callers' bodies given up since the start, for lack of memory.",
    ),
    (
        "lentillift_gateway_body_bytes",
        "Bytes of callers' bodies, until their requests are answered.",
    ),
    (
        "lentillift_gateway_branch_requests_total",
        "Requests of other hosts for shards, by whether their configuration is older, the same or newer.",
    ),
    (
        "lentillift_gateway_budget_left",
        "Repeated sends that the budgets of all services still allow this process now.",
    ),
    (
        "lentillift_gateway_caller_connections_total",
        "Connections of callers that were taken.",
    ),
    (
        "lentillift_gateway_callers_closed",
        "Callers' connections closed since the start because they kept the host waiting.",
    ),
    (
        "lentillift_gateway_caught_up_total",
        "Requests that waited for news because what is believed was older than its bound, by whether news came.",
    ),
    (
        "lentillift_gateway_config_version",
        "Version of the configuration in force; 0 before the first.",
    ),
    (
        "lentillift_gateway_datagrams_malformed_total",
        "Datagrams that could not be understood.",
    ),
    (
        "lentillift_gateway_followers",
        "Hosts that learn from this one what is published.",
    ),
    (
        "lentillift_gateway_foreign_replies_total",
        "Replies of backend servers that did not name the request that waited for them, by reason.",
    ),
    (
        "lentillift_gateway_hosts",
        "Hosts that may be at work, this one included.",
    ),
    (
        "lentillift_gateway_log_lines_dropped",
        "Log lines left out or dropped since the start.",
    ),
    (
        "lentillift_gateway_memory_bytes",
        "Memory of the process, in bytes.",
    ),
    (
        "lentillift_gateway_news_heard_bytes_total",
        "Bytes of published state that were heard from other hosts.",
    ),
    (
        "lentillift_gateway_news_told_bytes_total",
        "Bytes of published state that were told to followers.",
    ),
    (
        "lentillift_gateway_origins_lost_total",
        "Times that whoever told what is published was left because it failed or its knowledge was old, by kind.",
    ),
    (
        "lentillift_gateway_outdated_total",
        "Times that what is believed of the published state became older than the bound on news.",
    ),
    (
        "lentillift_gateway_repeats_refused_total",
        "Repeated sends that the budget did not allow.",
    ),
    (
        "lentillift_gateway_reply_bytes",
        "Bytes of backend servers' replies that are being read.",
    ),
    (
        "lentillift_gateway_request_seconds",
        "Time to answer callers' requests, by route and outcome, in seconds.",
    ),
    (
        "lentillift_gateway_requests_total",
        "Callers' requests, by outcome.",
    ),
    (
        "lentillift_gateway_send_seconds",
        "Time from a send to its end, by route, hop (near, far: a backend server of this failure domain or another; host: another host's first word; rest: its next ones) and outcome, in seconds.",
    ),
    (
        "lentillift_gateway_sends_total",
        "Sends to backend servers and other hosts, by where they went.",
    ),
    (
        "lentillift_gateway_quarantine_changes_total",
        "Changes in what is held of requests under which backend servers ended, by what is held now.",
    ),
    (
        "lentillift_gateway_servers_ended_total",
        "Requests whose backend server ended while it had them.",
    ),
    (
        "lentillift_gateway_service_calls_total",
        "Calls to the service that publishes, by kind and outcome.",
    ),
    (
        "lentillift_gateway_timer_lag_seconds",
        "How late timers fire on average: above some milliseconds the processor is short.",
    ),
    (
        "lentillift_hedges_busy_total",
        "Hedges not sent because the other replica was busy or cold.",
    ),
    (
        "lentillift_hedges_spent_total",
        "Hedges not sent because the budget of extra load was spent.",
    ),
    (
        "lentillift_hedges_total",
        "Second sub-requests sent for slow shards.",
    ),
    ("lentillift_hedges_won_total", "Hedges that replied first."),
    (
        "lentillift_kept_answers_total",
        "Queries that were given an answer kept from before.",
    ),
    (
        "lentillift_owner_misrouted_total",
        "Sub-requests for a backend server that is not owned here or is out.",
    ),
    (
        "lentillift_owner_refused_cold_total",
        "Sub-requests refused because the backend server is cold and full.",
    ),
    (
        "lentillift_owner_refused_hedges_total",
        "Hedges refused because the backend server had no slot free at once.",
    ),
    (
        "lentillift_owner_refused_late_total",
        "Sub-requests refused because their reply would have come too late.",
    ),
    (
        "lentillift_owner_refused_unwell_total",
        "Sub-requests refused because the backend server fails.",
    ),
    (
        "lentillift_platform_calls_total",
        "Calls to the configuration service, by kind.",
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
        "lentillift_retries_denied_total",
        "Failed sub-requests not sent again because the budget was spent.",
    ),
    (
        "lentillift_retries_total",
        "Failed sub-requests sent again to another replica.",
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
        "lentillift_shards_missing_total",
        "Shards missing from answers, by reason.",
    ),
    (
        "lentillift_shards_total",
        "Shards that answered queries were to cover.",
    ),
    (
        "lentillift_sync_dropped_total",
        "Messages of the membership protocol dropped for want of room.",
    ),
];

/// The description of the metric `name`, if it has one.
pub fn help(name: &str) -> Option<&'static str> {
    let found = HELP.iter().find(|(known, _)| *known == name);
    found.map(|(_, help)| *help)
}
