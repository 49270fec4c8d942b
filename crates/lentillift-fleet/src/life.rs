//! Lifecycle of this process as it announces it to the others: starting, serving, leaving, gone.
//!
//! Each stage is a type of its own, so that no code can return to an earlier one.

use crate::member::Member;
use crate::member::Version;
use crate::view::Health;
use crate::view::Stage;
use std::marker::PhantomData;

/// The process collects the state that it needs before it accepts work.
#[derive(Debug)]
pub struct Starting;

/// The process accepts work.
#[derive(Debug)]
pub struct Serving;

/// The process finishes its work and accepts nothing new.
#[derive(Debug)]
pub struct Leaving;

/// The process has ended.
#[derive(Debug)]
pub struct Gone;

/// This process in stage `S`.
#[derive(Debug)]
pub struct Life<S> {
    // INVARIANT: `member.stage` corresponds to `S`, and `member.health` is alive.
    member: Member,
    state: PhantomData<S>,
}

impl<S> Life<S> {
    /// The record that the process announces of itself.
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
    /// Starts with the version and incarnation of `member`.
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

    /// Accepts work from now on.
    pub fn serve(self) -> Life<Serving> {
        self.become_next(Stage::Serving)
    }

    /// Leaves before it has ever accepted work.
    pub fn leave(self) -> Life<Leaving> {
        self.become_next(Stage::Leaving)
    }
}

impl Life<Serving> {
    /// Accepts nothing new from now on.
    pub fn leave(self) -> Life<Leaving> {
        self.become_next(Stage::Leaving)
    }
}

impl Life<Leaving> {
    /// Ends, with no work left.
    pub fn end(self) -> Life<Gone> {
        self.become_next(Stage::Gone)
    }
}

/// This process in any stage.
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
    /// The record that the process announces of itself.
    pub fn member(&self) -> &Member {
        match self {
            Self::Starting(life) => life.member(),
            Self::Serving(life) => life.member(),
            Self::Leaving(life) => life.member(),
            Self::Gone(life) => life.member(),
        }
    }

    /// Accepts work from now on, if it was starting.
    pub fn serve(self) -> Self {
        match self {
            Self::Starting(life) => Self::Serving(life.serve()),
            other => other,
        }
    }

    /// Accepts nothing new from now on, unless it has ended.
    pub fn leave(self) -> Self {
        match self {
            Self::Starting(life) => Self::Leaving(life.leave()),
            Self::Serving(life) => Self::Leaving(life.leave()),
            other => other,
        }
    }

    /// Ends, from any stage.
    pub fn end(self) -> Self {
        match self.leave() {
            Self::Leaving(life) => Self::Gone(life.end()),
            other => other,
        }
    }

    /// Refutes a record of this process that it did not issue; returns whether that was needed.
    ///
    /// Other processes may consider this one dead after a pause, or remember an earlier process of
    /// this host whose clock was ahead. Their record would win until this process exceeds its
    /// version.
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
