use std::time::Duration;

use kwg_model::MonoTime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One request of a work load.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    /// When it arrives.
    pub at: MonoTime,
    /// Its tier.
    pub tier: u8,
    /// Its client account.
    pub account: usize,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer.
    pub answer: u32,
    /// How long its caller waits for the first token.
    pub patience: Duration,
}

/// Requests as a dependency update bot makes them: many labels, some summaries a hundred times
/// as long, bursts, and accounts of unequal size.
#[derive(Debug)]
pub struct WorkLoad;

/// Share of requests of each tier.
const TIER_WEIGHTS: [f64; 5] = [0.15, 0.2, 0.25, 0.2, 0.2];
/// Share of requests of each account: a few are large.
const ACCOUNT_WEIGHTS: [f64; 5] = [0.5, 0.25, 0.15, 0.07, 0.03];
/// Share of summaries among the requests.
const SUMMARY_SHARE: f64 = 0.15;
const LABEL_TOKENS: u32 = 10;
const SUMMARY_TOKENS: u32 = 1_000;
const LABEL_PROMPT: u32 = 100;
const SUMMARY_PROMPT: u32 = 1_500;
/// How long callers of the two upper tiers, and the others, wait for the first token.
const PATIENCE: [Duration; 2] = [Duration::from_millis(1_100), Duration::from_secs(10)];

impl WorkLoad {
    /// Mean work of a request, in answer tokens.
    #[must_use]
    pub fn mean_tokens() -> f64 {
        SUMMARY_SHARE * f64::from(SUMMARY_TOKENS) + (1.0 - SUMMARY_SHARE) * f64::from(LABEL_TOKENS)
    }

    /// Draws requests for a while at a mean rate, with a burst of twice the rate in the middle
    /// fifth and correspondingly less before and after.
    #[must_use]
    pub fn draw(seed: u64, rate: f64, span: Duration) -> Vec<LoadRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut requests, mut seconds) = (Vec::new(), 0.0);
        while seconds < span.as_secs_f64() {
            let part = seconds / span.as_secs_f64();
            let burst = if (0.4..0.6).contains(&part) { 2.0 } else { 0.75 };
            seconds += -rng.random::<f64>().max(1e-12).ln() / (rate * burst);
            let tier = pick(&TIER_WEIGHTS, &mut rng);
            let is_summary = rng.random_bool(SUMMARY_SHARE);
            requests.push(LoadRequest {
                at: MonoTime::ZERO + Duration::from_secs_f64(seconds),
                tier: u8::try_from(tier).unwrap_or(0),
                account: pick(&ACCOUNT_WEIGHTS, &mut rng),
                prompt: if is_summary { SUMMARY_PROMPT } else { LABEL_PROMPT },
                answer: if is_summary { SUMMARY_TOKENS } else { LABEL_TOKENS },
                patience: PATIENCE[usize::from(tier > 1)],
            });
        }
        requests
    }
}

fn pick(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut point = rng.random::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}
