//! What an answer of a backend server changes.

use super::Effect;
use super::Owner;
use super::Ticket;
use crate::queue::Flight;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Report;
use lentillift_core::time::Time;

impl Owner {
    /// Takes in a backend server's answer and passes it on.
    pub(super) fn done(
        &mut self,
        now: Time,
        ticket: Ticket,
        result: sub::Result,
        report: &Report,
    ) -> Vec<Effect> {
        let Some(flight) = self.flights.remove(&ticket) else {
            return Vec::new();
        };
        let backend = flight.backend.clone();
        self.forget(&flight.from, flight.id, flight.desk, Some(ticket));
        self.note_cost(now, &flight, &result);
        let mut effects = Vec::new();
        if timed_out(&result) && !flight.cancelled {
            // The server may go on with it, for nobody.
            let backend = backend.clone();
            effects.push(Effect::Cancel { ticket, backend });
        }
        if let Some(server) = self.servers.get_mut(&backend) {
            let changes = server.done(&self.policy, now, ticket, &flight, &result, report);
            effects.extend(self.tell(&backend, changes));
        }
        effects.extend(self.turn_away(now, &backend));
        effects.extend(self.pump(now, &backend));
        effects.push(Effect::Reply {
            load: self.load(now, &backend, &flight.caller),
            to: flight.from,
            desk: flight.desk,
            id: flight.id,
            result,
        });
        self.drop_if_lost(&backend);
        effects
    }

    fn note_cost(&mut self, now: Time, flight: &Flight, result: &sub::Result) {
        let ran = matches!(result, sub::Result::Hits(_) | sub::Result::Reply(_));
        if let Some(known) = self.view.backends.get(&flight.backend)
            && ran
            && !flight.cancelled
        {
            let costs = self.costs.entry(known.service.clone()).or_default();
            costs.record(&flight.caller, now.saturating_sub(flight.since));
        }
    }
}

/// Whether a reply did not come in time.
fn timed_out(result: &sub::Result) -> bool {
    matches!(
        result,
        sub::Result::Failed {
            failure: Failure::Timeout,
            ..
        }
    )
}
