//! Effects of a backend server's result.

use super::Effect;
use super::Owner;
use super::Ticket;
use crate::queue::InFlight;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::time::Time;

impl Owner {
    /// Records the result of a request and sends it to the entry.
    pub(super) fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        result: sub::Result,
        report: &Report,
    ) -> Vec<Effect> {
        let Some(request) = self.in_flight.remove(&ticket) else {
            return Vec::new();
        };
        let backend = request.backend.clone();
        self.remove_ticket(&request.from, request.id, request.component, Some(ticket));
        self.record_cost(now, &request, &result);
        let mut effects = Vec::new();
        if timed_out(&result) && !request.cancelled {
            // The server may still run it, although its result is no longer needed.
            let backend = backend.clone();
            effects.push(Effect::Cancel { ticket, backend });
        }
        if let Some(server) = self.servers.get_mut(&backend) {
            let changes =
                server.record_result(&self.policy, now, ticket, &request, &result, report);
            effects.extend(self.report_changes(&backend, changes));
        }
        effects.extend(self.refuse_waiting(now, &backend));
        effects.extend(self.process_queue(now, &backend));
        effects.push(Effect::Reply {
            load: self.load(now, &backend, &request.caller),
            to: request.from,
            component: request.component,
            id: request.id,
            result,
        });
        self.remove_if_lost(&backend);
        effects
    }

    fn record_cost(&mut self, now: Time, request: &InFlight, result: &sub::Result) {
        let ran = matches!(result, sub::Result::Hits(_) | sub::Result::Reply(_));
        if let Some(known) = self.view.backends.get(&request.backend)
            && ran
            && !request.cancelled
        {
            let costs = self.costs.entry(known.service.clone()).or_default();
            costs.record(&request.caller, now.saturating_sub(request.sent_at));
        }
    }
}

/// Whether a request failed because its reply did not come in time.
fn timed_out(result: &sub::Result) -> bool {
    matches!(
        result,
        sub::Result::Failed {
            failure: Failure::Timeout,
            ..
        }
    )
}
