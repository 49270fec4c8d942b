//! State machine of one process for requests that may run at most once.

use crate::event::Effect;
use crate::event::Event;
use crate::forward::Forwarded;
use crate::home;
use crate::home::IdTable;
use crate::home::Lookup;
use crate::in_flight::InFlight;
use crate::in_flight::RETRY_AFTER;
use crate::in_flight::Waiter;
use crate::key::Key;
use crate::leave::Leaving;
use crate::quota::Quota;
use crate::quota::Share;
use crate::record;
use crate::submit::ActionRequest;
use crate::submit::ActionResponse;
use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use lentillift_settings::config::Kind;
use rand::Rng;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time subtracted from an allowance on each hop, so that the response still arrives in time.
///
/// The latency between hosts is under 1 ms, that to callers about 3 ms.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Largest allowance while there is no configuration that states one.
const DEFAULT_MAX_ALLOWANCE: Duration = Duration::from_secs(10);

/// Maximum number of requests in flight from one home; each holds its body of at most 64 KB.
const MAX_IN_FLIGHT: usize = 512;

/// What a timer is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a waiter for a request in flight.
    Flight(Key),
    /// The end of a request in flight that has no waiters.
    Abandoned(Key),
    /// The deadline of a forwarded request.
    Away(id::Request),
    /// The next stage of the shutdown.
    Leave,
}

/// State machine of one process for requests that may run at most once.
///
/// It is both an entry, which takes requests from callers, and a home, which issues ids and sends
/// the requests made under them.
#[derive(Debug)]
pub struct Once<R> {
    pub(crate) host: id::Host,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) options: home::Options,
    pub(crate) own_ids: IdTable,
    /// Ids that other homes have handed over, by home.
    pub(crate) adopted: HashMap<(id::Host, id::Incarnation), IdTable>,
    pub(crate) leaving: Option<Leaving>,
    pub(crate) view: Arc<View>,
    pub(crate) in_flight: HashMap<Key, InFlight>,
    /// Ids by sub-request whose result may still arrive, also of requests reported as unknown.
    pub(crate) keys_by_sub: HashMap<id::Sub, Key>,
    pub(crate) in_flight_quota: Quota,
    pub(crate) forwarded: HashMap<id::Request, Forwarded>,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    pub(crate) next_sub: id::Sub,
    pub(crate) next_batch: u64,
    pub(crate) rng: R,
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Creates the state machine without a view of the fleet; it refuses everything until it gets
    /// one.
    pub fn new(
        host: id::Host,
        incarnation: id::Incarnation,
        options: &home::Options,
        mut rng: R,
    ) -> Self {
        // Numbers start at a random value so that a late result for the previous process on this
        // host can't match one of ours. Otherwise a notice would count as filed because another
        // was.
        let first_number = rng.random::<u64>() >> 1;
        Self {
            own_ids: IdTable::new(host.clone(), incarnation, options),
            host,
            incarnation,
            options: *options,
            adopted: HashMap::new(),
            leaving: None,
            view: Arc::default(),
            in_flight: HashMap::new(),
            keys_by_sub: HashMap::new(),
            in_flight_quota: Quota::new(MAX_IN_FLIGHT),
            forwarded: HashMap::new(),
            timers: BTreeSet::new(),
            next_sub: first_number,
            next_batch: first_number,
            rng,
        }
    }

    /// Handles an event and returns the effects to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = match event {
            Event::Issue {
                request,
                service,
                caller,
            } => vec![Effect::Issued {
                request,
                key: self.issue(now, &service, &caller),
            }],
            Event::Call { request, submit } => self.handle_call(now, request, submit),
            Event::Submit {
                from,
                request,
                submit,
            } => self.handle_forwarded(now, from, request, submit),
            Event::Undelivered { request } => self.try_successor(now, None, request),
            Event::Settled {
                from,
                request,
                settled,
            } => self.finish_from_home(&from, request, settled),
            Event::NotHome { from, request } => self.try_successor(now, Some(&from), request),
            Event::Result { id, result } => self.handle_result(now, id, result),
            Event::Down { host } => self.handle_link_down(&host),
            Event::Handover { from, parcel } => self.adopt(now, from, parcel),
            Event::Taken { number } => self.batch_closed(now, number),
            Event::Returned(parcel) => self.batch_closed(now, parcel.number),
            Event::Leave { within } => self.leave(now, within),
            Event::View(view) => {
                self.view = view;
                Vec::new()
            }
            Event::Tick => Vec::new(),
        };
        effects.extend(self.expire(now));
        if matches!(self.leaving, Some(Leaving::Draining(_))) {
            effects.extend(self.continue_leaving(now));
        }
        effects
    }

    /// When [`Event::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(time, _)| *time)
    }

    /// Number of ids with a record, including those taken over from other homes.
    pub fn ids_held(&self) -> usize {
        self.own_ids.len() + self.adopted.values().map(IdTable::len).sum::<usize>()
    }

    /// Runs the timers that are due and drops expired records.
    fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((time, _)) = self.timers.first()
            && *time <= now
            && let Some((_, timer)) = self.timers.pop_first()
        {
            effects.extend(match timer {
                Timer::Flight(key) => self.time_out_waiters(now, &key),
                Timer::Abandoned(key) => self.abandon(&key),
                Timer::Away(request) => {
                    let response = ActionResponse::unknown("the id's home did not answer in time");
                    self.finish_forwarded(request, response.retry_after(RETRY_AFTER))
                }
                Timer::Leave => self.continue_leaving(now),
            });
        }
        self.adopted.retain(|_, ids| {
            ids.drop_expired(now);
            !ids.is_empty()
        });
        // Bounds the memory for sub-requests whose result never arrives.
        if self.keys_by_sub.len() > self.options.max_ids {
            let oldest = self.next_sub - self.options.max_ids as u64;
            let in_flight = &self.in_flight;
            self.keys_by_sub
                .retain(|id, key| *id > oldest || in_flight.contains_key(key));
        }
        effects
    }

    /// Issues an id to a caller for a service.
    fn issue(
        &mut self,
        now: Time,
        service: &id::Service,
        caller: &id::Caller,
    ) -> Result<String, Refusal> {
        if self.leaving.is_some() {
            let refusal = Refusal::new(Cause::Leaving, "the process is ending");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        self.check(now, service, caller)?;
        let share = self.share(caller).unwrap_or(Share {
            weight: 0,
            total: 1,
        });
        let secret = self.rng.random();
        let key = self.own_ids.issue(now, caller, share, secret);
        let too_many = || {
            let detail = format!("caller `{caller}` has too many ids in use");
            Refusal::new(Cause::Overload, detail).retry_after(RETRY_AFTER)
        };
        key.map(|key| key.to_string()).ok_or_else(too_many)
    }

    /// Checks that the current configuration has the caller, and the service as one of actions.
    pub(crate) fn check(
        &self,
        now: Time,
        service: &id::Service,
        caller: &id::Caller,
    ) -> Result<(), Refusal> {
        // A process that was paused or partitioned missed what was taken out of service meanwhile.
        if !self.view.is_fresh(now) {
            let refusal = Refusal::new(Cause::Stale, "no fresh view of the fleet");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        let Some(config) = &self.view.values.config else {
            let refusal = Refusal::new(Cause::Stale, "no configuration yet");
            return Err(refusal.retry_after(RETRY_AFTER));
        };
        let configured = config.services.get(service);
        if configured.is_none_or(|service| service.kind != Kind::Action) {
            let detail = format!("no service of actions `{service}`");
            return Err(Refusal::new(Cause::UnknownService, detail));
        }
        if !config.callers.contains_key(caller) {
            let detail = format!("no caller `{caller}`");
            return Err(Refusal::new(Cause::UnknownCaller, detail));
        }
        Ok(())
    }

    /// A caller's weight and the total weight of all configured callers.
    pub(crate) fn share(&self, caller: &id::Caller) -> Option<Share> {
        let config = self.view.values.config.as_ref()?;
        let total = config.callers.values().map(|c| u64::from(c.weight)).sum();
        let weight = u64::from(config.callers.get(caller)?.weight);
        Some(Share { weight, total })
    }

    /// Handles a request of a caller: serves it if its home is here, otherwise forwards it.
    fn handle_call(
        &mut self,
        now: Time,
        request: id::Request,
        action: ActionRequest,
    ) -> Vec<Effect> {
        let deadline = now
            + action
                .allowance
                .min(self.max_wait())
                .saturating_sub(RETURN_MARGIN);
        let waiter = Waiter::Caller(request);
        match action.key.parse::<Key>() {
            Ok(key) if self.try_id_table(&key).is_some() => {
                self.serve(now, &key, action, waiter, deadline)
            }
            Ok(key) => self.forward_to_home(now, request, &key, action, deadline),
            // No home issues a malformed id, so nothing can have run under it.
            Err(e) => {
                let detail = format!("idempotency-key: {e}");
                vec![waiter.answer(ActionResponse::not_run(Cause::Malformed, &detail))]
            }
        }
    }

    /// Maximum time that a request is kept waiting, whatever its allowance.
    ///
    /// Twice the largest valid allowance, so that the home still sees and refuses an invalid one.
    fn max_wait(&self) -> Duration {
        let config = self.view.values.config.as_ref();
        let max_allowance = config.map(|config| Duration::from_millis(config.most_allowance_ms));
        max_allowance
            .unwrap_or(DEFAULT_MAX_ALLOWANCE)
            .saturating_mul(2)
    }

    /// Handles a request that an entry on another host forwarded.
    fn handle_forwarded(
        &mut self,
        now: Time,
        from: id::Host,
        request: id::Request,
        action: ActionRequest,
    ) -> Vec<Effect> {
        let deadline = now + action.allowance.saturating_sub(RETURN_MARGIN);
        match action.key.parse::<Key>() {
            Ok(key) if self.try_id_table(&key).is_some() => {
                self.serve(now, &key, action, Waiter::Entry(from, request), deadline)
            }
            _ => vec![Effect::NotHome { to: from, request }],
        }
    }

    /// Serves a request whose home is here: sends it, waits for it, or answers from its record.
    fn serve(
        &mut self,
        now: Time,
        key: &Key,
        action: ActionRequest,
        waiter: Waiter,
        deadline: Time,
    ) -> Vec<Effect> {
        let digest = record::digest(&action.service, &action.body);
        let response = match self.id_table(key).lookup(now, key, &action.caller, digest) {
            Lookup::Send => return self.send_new(now, key, action, waiter, deadline),
            Lookup::Wait => return self.add_waiter(key, waiter, deadline),
            Lookup::Done(reply) => ActionResponse::done(reply),
            Lookup::Unknown => ActionResponse::unknown("its reply was lost"),
            Lookup::Expired => ActionResponse::unknown("the id's lifetime is over"),
            Lookup::Closed => ActionResponse::not_run(
                Cause::Closed,
                "the id is closed and never ran; take a new one",
            ),
            Lookup::Mismatch => {
                let detail = "the id belongs to another body, service or caller; take a new one";
                ActionResponse::not_run(Cause::Mismatch, detail)
            }
        };
        vec![waiter.answer(response)]
    }

    /// Ends all requests at a host whose link ended; they may or may not have run.
    fn handle_link_down(&mut self, host: &id::Host) -> Vec<Effect> {
        let mut effects = self.fail_forwarded(host);
        let lost = self
            .in_flight
            .iter()
            .filter(|(_, request)| request.owner == *host);
        let mut lost: Vec<Key> = lost.map(|(key, _)| key.clone()).collect();
        lost.sort_unstable();
        for key in lost {
            effects.extend(self.mark_unknown(&key));
        }
        effects
    }

    /// The table of ids that `key` belongs to.
    ///
    /// None if this process is not the home of `key`, or has given up its ids.
    pub(crate) fn try_id_table(&mut self, key: &Key) -> Option<&mut IdTable> {
        if matches!(self.leaving, Some(Leaving::GivenUp { .. } | Leaving::Left)) {
            return None;
        }
        if self.own_ids.is_issuer_of(key) {
            return Some(&mut self.own_ids);
        }
        self.adopted.get_mut(&(key.host.clone(), key.incarnation))
    }

    /// The table of ids that `key` belongs to; to be used only after [`Self::try_id_table`] found
    /// it.
    pub(crate) fn id_table(&mut self, key: &Key) -> &mut IdTable {
        let at = (key.host.clone(), key.incarnation);
        match self.adopted.contains_key(&at) {
            true => self.adopted.entry(at).or_insert_with(|| {
                IdTable::adopted(key.host.clone(), key.incarnation, &self.options)
            }),
            false => &mut self.own_ids,
        }
    }
}
