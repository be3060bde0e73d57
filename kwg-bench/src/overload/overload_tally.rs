use std::fmt;

use super::RequestClass;

/// What became of the requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassTally {
    /// Requests of callers; one that comes back after a refusal counts once.
    pub asked: u32,
    /// Served on time.
    pub on_time: u32,
    /// Served late.
    pub late: u32,
    /// Refused in the end.
    pub refused: u32,
    /// Neither served nor refused before the caller left.
    pub expired: u32,
    /// Refusals, of which some were served later.
    pub refusals: u32,
    /// Refusals while fewer than half of the service's slots were in use.
    pub refused_idle: u32,
}

impl ClassTally {
    /// Share of the requests that were served.
    #[must_use]
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of the requests that were served on time.
    #[must_use]
    pub fn timely(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

/// What became of all requests of a replay, by class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OverloadTally {
    /// In the order of [`RequestClass::ALL`].
    pub classes: [ClassTally; RequestClass::ALL.len()],
    /// Mean share of the engines' slots in use.
    pub engine_use: f64,
}

impl OverloadTally {
    /// Earned worth as a share of that of all requests.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let rows = || RequestClass::ALL.iter().zip(&self.classes);
        let asked: f64 = rows().map(|(class, tally)| class.worth * f64::from(tally.asked)).sum();
        let earned: f64 = rows()
            .map(|(class, tally)| {
                class.worth * f64::from(tally.on_time) + class.late_worth * f64::from(tally.late)
            })
            .sum();
        earned / asked.max(1.0)
    }

    /// Share of all requests that were served.
    #[must_use]
    pub fn served(&self) -> f64 {
        let asked: u32 = self.classes.iter().map(|tally| tally.asked).sum();
        let served: u32 = self.classes.iter().map(|tally| tally.on_time + tally.late).sum();
        f64::from(served) / f64::from(asked.max(1))
    }
}

impl fmt::Display for OverloadTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worth {:.3} served {:.3} engines {:.2}",
            self.worth(),
            self.served(),
            self.engine_use
        )?;
        for (class, tally) in RequestClass::ALL.iter().zip(&self.classes) {
            write!(
                f,
                " | {} {:.2} on time {:.2} late, {} refusals, {} idle",
                class.name,
                tally.timely(),
                tally.served() - tally.timely(),
                tally.refusals,
                tally.refused_idle,
            )?;
        }
        Ok(())
    }
}
