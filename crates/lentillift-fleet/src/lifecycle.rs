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
pub struct Lifecycle<S> {
    // INVARIANT: `member.stage` corresponds to `S`, and `member.health` is alive.
    member: Member,
    state: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    /// The record that the process announces of itself.
    pub fn member(&self) -> &Member {
        &self.member
    }

    fn advance<T>(self, stage: Stage) -> Lifecycle<T> {
        let version = self.member.version + 1;
        let member = Member {
            version,
            stage,
            ..self.member
        };
        Lifecycle {
            member,
            state: PhantomData,
        }
    }
}

impl Lifecycle<Starting> {
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
    pub fn serve(self) -> Lifecycle<Serving> {
        self.advance(Stage::Serving)
    }

    /// Leaves before it has ever accepted work.
    pub fn leave(self) -> Lifecycle<Leaving> {
        self.advance(Stage::Leaving)
    }
}

impl Lifecycle<Serving> {
    /// Accepts nothing new from now on.
    pub fn leave(self) -> Lifecycle<Leaving> {
        self.advance(Stage::Leaving)
    }
}

impl Lifecycle<Leaving> {
    /// Ends, with no work left.
    pub fn end(self) -> Lifecycle<Gone> {
        self.advance(Stage::Gone)
    }
}

/// This process in any stage.
#[derive(Debug)]
pub enum AnyStage {
    /// See [`Starting`].
    Starting(Lifecycle<Starting>),
    /// See [`Serving`].
    Serving(Lifecycle<Serving>),
    /// See [`Leaving`].
    Leaving(Lifecycle<Leaving>),
    /// See [`Gone`].
    Gone(Lifecycle<Gone>),
}

impl AnyStage {
    /// The record that the process announces of itself.
    pub fn member(&self) -> &Member {
        match self {
            Self::Starting(lifecycle) => lifecycle.member(),
            Self::Serving(lifecycle) => lifecycle.member(),
            Self::Leaving(lifecycle) => lifecycle.member(),
            Self::Gone(lifecycle) => lifecycle.member(),
        }
    }

    /// Accepts work from now on, if it was starting.
    pub fn serve(self) -> Self {
        match self {
            Self::Starting(lifecycle) => Self::Serving(lifecycle.serve()),
            other => other,
        }
    }

    /// Accepts nothing new from now on, unless it has ended.
    pub fn leave(self) -> Self {
        match self {
            Self::Starting(lifecycle) => Self::Leaving(lifecycle.leave()),
            Self::Serving(lifecycle) => Self::Leaving(lifecycle.leave()),
            other => other,
        }
    }

    /// Ends, from any stage.
    pub fn end(self) -> Self {
        match self.leave() {
            Self::Leaving(lifecycle) => Self::Gone(lifecycle.end()),
            other => other,
        }
    }

    /// Refutes a record of this process that it did not issue; returns whether that was needed.
    ///
    /// Other processes may consider this one dead after a pause, or remember an earlier process of
    /// this host whose clock was ahead. Their record would win until this process exceeds its
    /// version.
    pub fn refute(&mut self, received: &Member) -> bool {
        let member = match self {
            Self::Starting(lifecycle) => &mut lifecycle.member,
            Self::Serving(lifecycle) => &mut lifecycle.member,
            Self::Leaving(lifecycle) => &mut lifecycle.member,
            Self::Gone(lifecycle) => &mut lifecycle.member,
        };
        if !received.supersedes(member) {
            return false;
        }
        member.version = next_version(received.version);
        true
    }
}

fn next_version(version: Version) -> Version {
    version.saturating_add(1)
}
