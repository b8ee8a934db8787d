//! The kinds of objects that entries follow.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A kind of objects that operators and targets write to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum Kind {
    /// Failure domains that operators evacuate.
    Evacuations,
    /// Versions of weights that operators name.
    Versions,
    /// Registrations of targets.
    Targets,
    /// The configuration.
    Config,
}

impl Kind {
    /// All kinds, those first that are small and urgent.
    pub const ALL: [Self; 4] = [
        Self::Evacuations,
        Self::Versions,
        Self::Targets,
        Self::Config,
    ];

    /// Returns the name of the kind in the store.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Evacuations => platform::evacuations::KIND,
            Self::Versions => platform::versions::KIND,
            Self::Targets => platform::target::KIND,
            Self::Config => platform::config::KIND,
        }
    }

    /// Returns the kind with this name in the store.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the position in [`Kind::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
