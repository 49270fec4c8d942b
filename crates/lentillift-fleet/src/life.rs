//! The life of this process, as it tells the others: starting, serving, leaving, gone.
//!
//! Each state is a type of its own, so that no code can go back from one to an earlier.

use crate::member::Member;
use crate::member::Version;
use crate::view::Health;
use crate::view::Stage;
use std::marker::PhantomData;

/// It gathers what it must know before it takes work.
#[derive(Debug)]
pub struct Starting;

/// It takes work.
#[derive(Debug)]
pub struct Serving;

/// It finishes what it has and takes nothing new.
#[derive(Debug)]
pub struct Leaving;

/// It has ended.
#[derive(Debug)]
pub struct Gone;

/// This process in state `S`.
#[derive(Debug)]
pub struct Life<S> {
    // INVARIANT: `member.stage` is the one that belongs to `S`, and `member.health` is alive.
    member: Member,
    state: PhantomData<S>,
}

impl<S> Life<S> {
    /// What the process says of itself.
    pub fn member(&self) -> &Member {
        &self.member
    }

    fn become_next<T>(self, stage: Stage) -> Life<T> {
        let version = self.member.version + 1;
        let member = Member {
            version,
            stage,
            ..self.member
        };
        Life {
            member,
            state: PhantomData,
        }
    }
}

impl Life<Starting> {
    /// Starts; version and incarnation are those of `member`.
    pub fn start(member: Member) -> Self {
        let member = Member {
            stage: Stage::Starting,
            health: Health::Alive,
            ..member
        };
        Self {
            member,
            state: PhantomData,
        }
    }

    /// Takes work from now on.
    pub fn serve(self) -> Life<Serving> {
        self.become_next(Stage::Serving)
    }

    /// Leaves before it ever took work.
    pub fn leave(self) -> Life<Leaving> {
        self.become_next(Stage::Leaving)
    }
}

impl Life<Serving> {
    /// Takes nothing new from now on.
    pub fn leave(self) -> Life<Leaving> {
        self.become_next(Stage::Leaving)
    }
}

impl Life<Leaving> {
    /// Has nothing left to do.
    pub fn end(self) -> Life<Gone> {
        self.become_next(Stage::Gone)
    }
}

/// This process in any state.
#[derive(Debug)]
pub enum Any {
    /// See [`Starting`].
    Starting(Life<Starting>),
    /// See [`Serving`].
    Serving(Life<Serving>),
    /// See [`Leaving`].
    Leaving(Life<Leaving>),
    /// See [`Gone`].
    Gone(Life<Gone>),
}

impl Any {
    /// What the process says of itself.
    pub fn member(&self) -> &Member {
        match self {
            Self::Starting(life) => life.member(),
            Self::Serving(life) => life.member(),
            Self::Leaving(life) => life.member(),
            Self::Gone(life) => life.member(),
        }
    }

    /// Takes work from now on, if it was starting.
    pub fn serve(self) -> Self {
        match self {
            Self::Starting(life) => Self::Serving(life.serve()),
            other => other,
        }
    }

    /// Takes nothing new from now on.
    pub fn leave(self) -> Self {
        match self {
            Self::Starting(life) => Self::Leaving(life.leave()),
            Self::Serving(life) => Self::Leaving(life.leave()),
            other => other,
        }
    }

    /// Has nothing left to do.
    pub fn end(self) -> Self {
        match self.leave() {
            Self::Leaving(life) => Self::Gone(life.end()),
            other => other,
        }
    }

    /// Contradicts an account of this process that is not its own; says whether that was needed.
    ///
    /// Others may hold it for dead after a pause, or remember a former process of this host whose
    /// clock was ahead. Their account would hold until this process goes beyond its version.
    pub fn refute(&mut self, news: &Member) -> bool {
        let member = match self {
            Self::Starting(life) => &mut life.member,
            Self::Serving(life) => &mut life.member,
            Self::Leaving(life) => &mut life.member,
            Self::Gone(life) => &mut life.member,
        };
        if !news.supersedes(member) {
            return false;
        }
        member.version = next(news.version);
        true
    }
}

fn next(version: Version) -> Version {
    version.saturating_add(1)
}
