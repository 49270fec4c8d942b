//! All requests that may run at most once, as one process sees them.

use crate::away::Away;
use crate::event::Effect;
use crate::event::Event;
use crate::flight::Asker;
use crate::flight::Flight;
use crate::flight::RETRY_AFTER;
use crate::home;
use crate::home::Home;
use crate::home::Next;
use crate::key::Key;
use crate::leave::Leaving;
use crate::quota::Quota;
use crate::quota::Share;
use crate::record;
use crate::submit::Settled;
use crate::submit::Submit;
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

/// Time kept back from an allowance on each leg, for the way back to whoever asked.
///
/// Hosts are under 1 ms apart and callers about 3 ms away.
const MARGIN: Duration = Duration::from_millis(5);

/// Largest allowance as long as there is no configuration that states one.
const LONGEST_UNKNOWN: Duration = Duration::from_secs(10);

/// Requests under way from one home at most; each holds its body, of 64 KB at most.
const MOST_FLIGHTS: usize = 512;

/// What is due at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// Someone who waits for a request that was sent from here.
    Flight(Key),
    /// A request that was sent from here and that nobody waits for.
    Abandoned(Key),
    /// A request that was passed on.
    Away(id::Request),
    /// The next step of the process's end.
    Leave,
}

/// All requests that may run at most once, as one process sees them.
#[derive(Debug)]
pub struct Once<R> {
    pub(crate) host: id::Host,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) options: home::Options,
    pub(crate) home: Home,
    /// Ids of processes that have handed them over.
    pub(crate) adopted: HashMap<(id::Host, id::Incarnation), Home>,
    pub(crate) leaving: Option<Leaving>,
    pub(crate) view: Arc<View>,
    pub(crate) flights: HashMap<Key, Flight>,
    /// The sub-requests whose result may still come, also of requests that were given up.
    pub(crate) subs: HashMap<id::Sub, Key>,
    pub(crate) room: Quota,
    pub(crate) away: HashMap<id::Request, Away>,
    pub(crate) due: BTreeSet<(Time, Due)>,
    pub(crate) next_sub: id::Sub,
    pub(crate) next_parcel: u64,
    pub(crate) rng: R,
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Starts without a view, hence refusing everything.
    pub fn new(
        host: id::Host,
        incarnation: id::Incarnation,
        options: &home::Options,
        mut rng: R,
    ) -> Self {
        // A late result for the process that ran here before must not be taken for one of ours: a
        // notice would count as filed because another was. So numbers don't start where its did.
        let first = rng.random::<u64>() >> 1;
        Self {
            home: Home::new(host.clone(), incarnation, options),
            host,
            incarnation,
            options: *options,
            adopted: HashMap::new(),
            leaving: None,
            view: Arc::default(),
            flights: HashMap::new(),
            subs: HashMap::new(),
            room: Quota::new(MOST_FLIGHTS),
            away: HashMap::new(),
            due: BTreeSet::new(),
            next_sub: first,
            next_parcel: first,
            rng,
        }
    }

    /// Takes in an event and says what to do about it.
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
            Event::Call { request, submit } => self.call(now, request, submit),
            Event::Submit {
                from,
                request,
                submit,
            } => self.submit(now, from, request, submit),
            Event::Undelivered { request } => self.elsewhere(now, None, request),
            Event::Settled {
                from,
                request,
                settled,
            } => self.back(&from, request, settled),
            Event::NotHome { from, request } => self.elsewhere(now, Some(&from), request),
            Event::Result { id, result } => self.result(now, id, result),
            Event::Down { host } => self.down(&host),
            Event::Handover { from, parcel } => self.adopt(now, from, parcel),
            Event::Taken { number } => self.closed(now, number),
            Event::Returned(parcel) => self.closed(now, parcel.number),
            Event::Leave { within } => self.leave(now, within),
            Event::View(view) => {
                self.view = view;
                Vec::new()
            }
            Event::Tick => Vec::new(),
        };
        effects.extend(self.expire(now));
        if matches!(self.leaving, Some(Leaving::Draining(_))) {
            effects.extend(self.leave_on(now));
        }
        effects
    }

    /// When [`Event::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        self.due.first().map(|(time, _)| *time)
    }

    /// How many ids this process remembers, those taken over included.
    pub fn ids_held(&self) -> usize {
        self.home.len() + self.adopted.values().map(Home::len).sum::<usize>()
    }

    fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((time, _)) = self.due.first()
            && *time <= now
            && let Some((_, due)) = self.due.pop_first()
        {
            effects.extend(match due {
                Due::Flight(key) => self.time_out(now, &key),
                Due::Abandoned(key) => self.abandon(&key),
                Due::Away(request) => {
                    let settled = Settled::unknown("the id's home did not answer in time");
                    self.settle_away(request, settled.retry_after(RETRY_AFTER))
                }
                Due::Leave => self.leave_on(now),
            });
        }
        self.adopted.retain(|_, home| {
            home.forget(now);
            !home.is_empty()
        });
        // A result that never comes must not hold its number for ever.
        if self.subs.len() > self.options.most {
            let oldest = self.next_sub - self.options.most as u64;
            let flights = &self.flights;
            self.subs
                .retain(|id, key| *id > oldest || flights.contains_key(key));
        }
        effects
    }

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
        let key = self.home.issue(now, caller, share, secret);
        let full = || {
            let detail = format!("caller `{caller}` has too many ids in use");
            Refusal::new(Cause::Overload, detail).retry_after(RETRY_AFTER)
        };
        key.map(|key| key.to_string()).ok_or_else(full)
    }

    /// Checks that the configuration in force knows the caller, and the service as one of actions.
    pub(crate) fn check(
        &self,
        now: Time,
        service: &id::Service,
        caller: &id::Caller,
    ) -> Result<(), Refusal> {
        // A process that was paused or cut off knows nothing of what was taken out meanwhile.
        if !self.view.is_fresh(now) {
            let refusal = Refusal::new(Cause::Stale, "no fresh view of the fleet");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        let Some(config) = &self.view.values.config else {
            let refusal = Refusal::new(Cause::Stale, "no configuration yet");
            return Err(refusal.retry_after(RETRY_AFTER));
        };
        let known = config.services.get(service);
        if known.is_none_or(|service| service.kind != Kind::Action) {
            let detail = format!("no service of actions `{service}`");
            return Err(Refusal::new(Cause::UnknownService, detail));
        }
        if !config.callers.contains_key(caller) {
            let detail = format!("no caller `{caller}`");
            return Err(Refusal::new(Cause::UnknownCaller, detail));
        }
        Ok(())
    }

    /// A caller's weight among all configured ones.
    pub(crate) fn share(&self, caller: &id::Caller) -> Option<Share> {
        let config = self.view.values.config.as_ref()?;
        let total = config.callers.values().map(|c| u64::from(c.weight)).sum();
        let weight = u64::from(config.callers.get(caller)?.weight);
        Some(Share { weight, total })
    }

    /// Takes a request from a caller, here or on behalf of its home elsewhere.
    fn call(&mut self, now: Time, request: id::Request, submit: Submit) -> Vec<Effect> {
        let by = now + submit.allowance.min(self.longest()).saturating_sub(MARGIN);
        let asker = Asker::Caller(request);
        match submit.key.parse::<Key>() {
            Ok(key) if self.try_ids(&key).is_some() => self.serve(now, &key, submit, asker, by),
            Ok(key) => self.pass(now, request, &key, submit, by),
            // What is not an id was never one, so that nothing can have run under it.
            Err(e) => {
                let detail = format!("idempotency-key: {e}");
                vec![asker.settle(Settled::not_run(Cause::Malformed, &detail))]
            }
        }
    }

    /// Longest time that a request is kept waiting, whatever its caller states.
    ///
    /// Twice what may be stated, so that its home still sees that too much was.
    fn longest(&self) -> Duration {
        let config = self.view.values.config.as_ref();
        let most = config.map(|config| Duration::from_millis(config.most_allowance_ms));
        most.unwrap_or(LONGEST_UNKNOWN).saturating_mul(2)
    }

    /// Takes a request that an entry has passed on.
    fn submit(
        &mut self,
        now: Time,
        from: id::Host,
        request: id::Request,
        submit: Submit,
    ) -> Vec<Effect> {
        let by = now + submit.allowance.saturating_sub(MARGIN);
        match submit.key.parse::<Key>() {
            Ok(key) if self.try_ids(&key).is_some() => {
                self.serve(now, &key, submit, Asker::Entry(from, request), by)
            }
            _ => vec![Effect::NotHome { to: from, request }],
        }
    }

    /// Runs a request whose home is here, unless it ran before.
    fn serve(
        &mut self,
        now: Time,
        key: &Key,
        submit: Submit,
        asker: Asker,
        by: Time,
    ) -> Vec<Effect> {
        let digest = record::digest(&submit.service, &submit.body);
        let settled = match self.ids(key).look(now, key, &submit.caller, digest) {
            Next::Send => return self.launch(now, key, submit, asker, by),
            Next::Wait => return self.join(key, asker, by),
            Next::Done(reply) => Settled::done(reply),
            Next::Unknown => Settled::unknown("its reply was lost"),
            Next::Expired => Settled::unknown("the id's lifetime is over"),
            Next::Closed => Settled::not_run(
                Cause::Closed,
                "the id is closed and never ran; take a new one",
            ),
            Next::Mismatch => {
                let detail = "the id belongs to another body, service or caller; take a new one";
                Settled::not_run(Cause::Mismatch, detail)
            }
        };
        vec![asker.settle(settled)]
    }

    /// What was under way at a host whose link ended may or may not have run.
    fn down(&mut self, host: &id::Host) -> Vec<Effect> {
        let mut effects = self.away_down(host);
        let lost = self.flights.iter().filter(|(_, f)| f.owner == *host);
        let mut lost: Vec<Key> = lost.map(|(key, _)| key.clone()).collect();
        lost.sort_unstable();
        for key in lost {
            effects.extend(self.lose(&key));
        }
        effects
    }

    /// The ids that `key` belongs to, if this process may speak for them.
    pub(crate) fn try_ids(&mut self, key: &Key) -> Option<&mut Home> {
        if matches!(self.leaving, Some(Leaving::GivenUp { .. } | Leaving::Left)) {
            return None;
        }
        if self.home.holds(key) {
            return Some(&mut self.home);
        }
        self.adopted.get_mut(&(key.host.clone(), key.incarnation))
    }

    /// The ids that `key` belongs to; asked only after [`Self::try_ids`] has found them.
    pub(crate) fn ids(&mut self, key: &Key) -> &mut Home {
        let at = (key.host.clone(), key.incarnation);
        match self.adopted.contains_key(&at) {
            true => self
                .adopted
                .entry(at)
                .or_insert_with(|| Home::adopted(key.host.clone(), key.incarnation, &self.options)),
            false => &mut self.home,
        }
    }
}
