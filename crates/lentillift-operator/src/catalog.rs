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
        "Times that a backend server was treated as cold again.",
    ),
    (
        "lentillift_backend_leaving_total",
        "Times that a backend server reported that it is draining.",
    ),
    (
        "lentillift_backend_limit_fell_total",
        "Times that a backend server's slot limit was lowered because it was slow.",
    ),
    (
        "lentillift_backend_limit_rose_total",
        "Times that a backend server's slot limit was raised again.",
    ),
    (
        "lentillift_backend_paused_total",
        "Times that sends to a backend server were paused because it failed.",
    ),
    (
        "lentillift_backend_warm_total",
        "Times that a backend server finished its warm-up and got its full share of load.",
    ),
    (
        "lentillift_backend_well_total",
        "Times that sends to a backend server were resumed after it had failed.",
    ),
    (
        "lentillift_backends_cold",
        "Backend servers owned by this process that are still warming up.",
    ),
    (
        "lentillift_backends_owned",
        "Backend servers owned by this process that it has sent requests to.",
    ),
    (
        "lentillift_coalesced_total",
        "Queries that shared the execution of an identical query.",
    ),
    (
        "lentillift_claims_total",
        "Lease claims and renewals, counted once for each guardian that they were sent to.",
    ),
    (
        "lentillift_datagram_bytes_total",
        "Bytes in datagrams of the membership protocol, by direction.",
    ),
    (
        "lentillift_datagrams_bad_total",
        "Datagrams that could not be encoded or decoded.",
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
        "Queries restarted because a shard had dropped the snapshot.",
    ),
    (
        "lentillift_gateway_age_seconds",
        "Age of the published state known to this process, in seconds; -1 before the first update.",
    ),
    (
        "lentillift_gateway_backend_connections_idle",
        "Idle connections to backend servers.",
    ),
    (
        "lentillift_gateway_backend_connections_opened",
        "Connections to backend servers opened since the start.",
    ),
    (
        "lentillift_gateway_budget_left",
        "Retries and hedges that the budgets of all services still allow this process now.",
    ),
    (
        "lentillift_gateway_caller_connections_total",
        "Connections accepted from callers.",
    ),
    (
        "lentillift_gateway_caught_up_total",
        "Requests that waited for an update because the published state was older than its bound, by whether an update arrived.",
    ),
    (
        "lentillift_gateway_config_version",
        "Version of the configuration in force; 0 before the first.",
    ),
    (
        "lentillift_gateway_datagrams_malformed_total",
        "Datagrams that could not be decoded.",
    ),
    (
        "lentillift_gateway_followers",
        "Hosts that receive the published state from this one.",
    ),
    (
        "lentillift_gateway_hosts",
        "Hosts that may be running, this one included.",
    ),
    (
        "lentillift_gateway_log_lines_dropped",
        "Log lines suppressed or dropped since the start.",
    ),
    (
        "lentillift_gateway_memory_bytes",
        "Resident memory of the process, in bytes.",
    ),
    (
        "lentillift_gateway_news_heard_bytes_total",
        "Bytes of published state received from other hosts.",
    ),
    (
        "lentillift_gateway_news_told_bytes_total",
        "Bytes of published state sent to followers.",
    ),
    (
        "lentillift_gateway_origins_lost_total",
        "Times that the origin of the published state was given up because it failed or its state was stale, by kind.",
    ),
    (
        "lentillift_gateway_outdated_total",
        "Times that the published state known to this process became older than its bound on age.",
    ),
    (
        "lentillift_gateway_repeats_refused_total",
        "Retries and hedges that the budget did not allow.",
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
        "Time from a send to its end, by route, hop (near, far: a backend server of this failure domain or another; host: another host's first reply; rest: its later ones) and outcome, in seconds.",
    ),
    (
        "lentillift_gateway_sends_total",
        "Sends to backend servers and other hosts, by destination.",
    ),
    (
        "lentillift_gateway_quarantine_changes_total",
        "State changes in the quarantine of requests during which backend servers terminated, by new state.",
    ),
    (
        "lentillift_gateway_servers_ended_total",
        "Requests whose backend server terminated while it ran them.",
    ),
    (
        "lentillift_gateway_service_calls_total",
        "Calls to the configuration service, by kind and outcome.",
    ),
    (
        "lentillift_gateway_timer_lag_seconds",
        "How late timers fire on average; more than a few milliseconds mean a shortage of processor time.",
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
        "Queries answered from the cache.",
    ),
    (
        "lentillift_owner_misrouted_total",
        "Sub-requests for a backend server that is not owned by this process or is out of service.",
    ),
    (
        "lentillift_owner_refused_cold_total",
        "Sub-requests refused because the backend server is cold and at its limit.",
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
        "Sub-requests refused because the backend server is failing.",
    ),
    (
        "lentillift_platform_calls_total",
        "Calls to the configuration service, by kind.",
    ),
    (
        "lentillift_queries_waiting",
        "Queries that are not yet answered.",
    ),
    (
        "lentillift_query_seconds",
        "Time from a query's arrival to its answer, over the last one to two minutes.",
    ),
    (
        "lentillift_queue",
        "Sub-requests queued for the backend servers owned by this process.",
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
        "Samples dropped because their metric name has the maximum number of series.",
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
        "Messages of the membership protocol dropped because the queue was full.",
    ),
];

/// The description of the metric `name`, if it has one.
pub fn help(name: &str) -> Option<&'static str> {
    let found = HELP.iter().find(|(known, _)| *known == name);
    found.map(|(_, help)| *help)
}
