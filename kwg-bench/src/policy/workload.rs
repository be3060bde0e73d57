use std::time::Duration;

use kwg_model::MonoTime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One request of a workload.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    /// Time of arrival.
    pub at: MonoTime,
    /// Service tier.
    pub tier: u8,
    /// Index of the client account.
    pub account: usize,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Length of the answer, in tokens.
    pub answer: u32,
    /// How long the caller waits for the first token.
    pub first_token_timeout: Duration,
}

/// Draws a synthetic workload, modelled on a dependency update bot: 85% labels with short answers,
/// 15% summaries with answers a hundred times as long, a burst, and accounts of unequal size.
#[derive(Debug)]
pub struct Workload;

/// Share of the requests in each tier.
const TIER_WEIGHTS: [f64; 5] = [0.15, 0.2, 0.25, 0.2, 0.2];
/// Share of the requests of each account: a few accounts are large.
const ACCOUNT_WEIGHTS: [f64; 5] = [0.5, 0.25, 0.15, 0.07, 0.03];
/// Share of summaries among the requests.
const SUMMARY_SHARE: f64 = 0.15;
const LABEL_ANSWER_TOKENS: u32 = 10;
const SUMMARY_ANSWER_TOKENS: u32 = 1_000;
const LABEL_PROMPT_TOKENS: u32 = 100;
const SUMMARY_PROMPT_TOKENS: u32 = 1_500;
/// How long callers wait for the first token: in tiers 0 and 1, and in the others.
const FIRST_TOKEN_TIMEOUTS: [Duration; 2] = [Duration::from_millis(1_100), Duration::from_secs(10)];

impl Workload {
    /// Mean length of an answer, in tokens.
    #[must_use]
    pub fn mean_tokens() -> f64 {
        SUMMARY_SHARE * f64::from(SUMMARY_ANSWER_TOKENS)
            + (1.0 - SUMMARY_SHARE) * f64::from(LABEL_ANSWER_TOKENS)
    }

    /// Draws requests until one arrives after `span`; that one is included. The mean is `rate` per
    /// second: twice the rate in the middle fifth, and three quarters of it before and after.
    #[must_use]
    pub fn draw(seed: u64, rate: f64, span: Duration) -> Vec<LoadRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut requests, mut seconds) = (Vec::new(), 0.0);
        while seconds < span.as_secs_f64() {
            let elapsed = seconds / span.as_secs_f64();
            let burst = if (0.4..0.6).contains(&elapsed) { 2.0 } else { 0.75 };
            seconds += -rng.random::<f64>().max(1e-12).ln() / (rate * burst);
            let tier = pick_weighted(&TIER_WEIGHTS, &mut rng);
            let is_summary = rng.random_bool(SUMMARY_SHARE);
            requests.push(LoadRequest {
                at: MonoTime::ZERO + Duration::from_secs_f64(seconds),
                tier: u8::try_from(tier).unwrap_or(0),
                account: pick_weighted(&ACCOUNT_WEIGHTS, &mut rng),
                prompt: if is_summary { SUMMARY_PROMPT_TOKENS } else { LABEL_PROMPT_TOKENS },
                answer: if is_summary { SUMMARY_ANSWER_TOKENS } else { LABEL_ANSWER_TOKENS },
                first_token_timeout: FIRST_TOKEN_TIMEOUTS[usize::from(tier > 1)],
            });
        }
        requests
    }
}

/// Draws an index with these probabilities.
fn pick_weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut point = rng.random::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}
