/// A load on a fleet over time.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPattern {
    /// What it stands for.
    pub name: &'static str,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of instances in each domain.
    pub instances: usize,
    /// Number of engines in each domain.
    pub engines: usize,
    /// Number of targets of the plain service in each domain.
    pub services: usize,
    /// Concurrent requests of a target.
    pub slots: u32,
    /// Length, in milliseconds.
    pub length_ms: u64,
    /// Load by time, relative to the rates of the classes; 1 outside all phases.
    pub phases: Vec<LoadPhase>,
}

/// A change of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPhase {
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub until_ms: u64,
    /// Load of generations.
    pub generations: f64,
    /// Load of plain calls.
    pub plain: f64,
}

impl LoadPattern {
    fn small(name: &'static str, phases: Vec<LoadPhase>) -> Self {
        let (domains, instances, engines, services, slots) = (3, 3, 4, 1, 6);
        Self { name, domains, instances, engines, services, slots, length_ms: 24_000, phases }
    }

    /// A large fleet: many instances for each slot of the plain service.
    fn large(name: &'static str, phases: Vec<LoadPhase>) -> Self {
        let (domains, instances, engines, services) = (2, 48, 34, 2);
        Self { domains, instances, engines, services, ..Self::small(name, phases) }
    }

    /// All patterns.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let phase = |from_ms, until_ms, load| LoadPhase {
            from_ms,
            until_ms,
            generations: load,
            plain: load,
        };
        let whole = |load| vec![phase(0, 24_000, load)];
        let burst = |load| vec![phase(8_000, 12_000, load)];
        vec![
            Self::small("steady 0.8", whole(0.8)),
            Self::small("steady 1.2", whole(1.2)),
            Self::small("burst 2.0", burst(2.0)),
            Self::large("large steady 0.8", whole(0.8)),
            Self::large("large steady 1.0", whole(1.0)),
            Self::large("large steady 1.3", whole(1.3)),
            Self::large("large burst 1.7", burst(1.7)),
            Self::large("large burst 2.5", burst(2.5)),
        ]
    }

    /// The load at a time, of generations or of plain calls.
    #[must_use]
    pub fn load(&self, now_ms: u64, is_generation: bool) -> f64 {
        let phase =
            self.phases.iter().find(|phase| (phase.from_ms..phase.until_ms).contains(&now_ms));
        phase.map_or(1.0, |phase| if is_generation { phase.generations } else { phase.plain })
    }
}
