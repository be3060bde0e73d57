use std::time::Duration;

use http_types::Request;
use kwg_model::{
    AccountGrant, AccountName, ByteChunk, CallSubmission, DispatchTicket, ResumeToken, RouteName,
    SealKey, ServiceTier,
};
use snafu::{OptionExt, ResultExt};

use crate::front_error::{BadHeaderSnafu, BadPathSnafu, BadTicketSnafu, UnauthorizedSnafu};
use crate::{FrontError, FrontHeaders};

/// Maximum number of tokens of an answer if the caller sets none.
const MAX_TOKENS_DEFAULT: u32 = 256;
/// Largest token limit that a caller may set.
const MAX_TOKENS_LIMIT: u32 = 1 << 20;
/// Longest deadline that a caller may set, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 86_400_000;

/// Returns the client account that the request's bearer key belongs to.
pub(crate) fn authenticate(
    request: &Request,
    accounts: &[AccountGrant],
) -> Result<AccountName, FrontError> {
    let header = request.header("authorization").map(|values| values.as_str());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.context(UnauthorizedSnafu)?;
    let hash = AccountGrant::hash_key(key);
    let grant = accounts.iter().find(|grant| grant.key_hash == hash);
    Ok(grant.context(UnauthorizedSnafu)?.name.clone())
}

/// Decodes a request for a route, whose body has already been read.
pub(crate) fn decode(
    request: &Request,
    route: &str,
    account: AccountName,
    seal_key: &SealKey,
    body: Vec<u8>,
) -> Result<CallSubmission, FrontError> {
    let route = RouteName::new(route)
        .map_err(|error| BadPathSnafu { what: "route", reason: error.to_string() }.build())?;
    let ticket = header(request, FrontHeaders::TICKET);
    let ticket = ticket.map(|text| DispatchTicket::from_text(text, seal_key, &account));
    let resume = header(request, FrontHeaders::RESUME).map(|text| {
        let reason = "not sealed by this fleet";
        ResumeToken::from_text(text, seal_key)
            .context(BadHeaderSnafu { header: FrontHeaders::RESUME, reason })
    });
    let tier = number(request, FrontHeaders::TIER, ServiceTier::COUNT as u64 - 1)?;
    let deadline = number(request, FrontHeaders::DEADLINE_MS, DEADLINE_LIMIT_MS)?;
    let max_tokens = number(request, FrontHeaders::MAX_TOKENS, u64::from(MAX_TOKENS_LIMIT))?;
    Ok(CallSubmission {
        account,
        route,
        ticket: ticket.transpose().context(BadTicketSnafu)?,
        idempotency_key: idempotency_key(request)?,
        resume: resume.transpose()?,
        offset: number(request, FrontHeaders::LAST_EVENT_ID, u64::MAX)?.unwrap_or(0),
        tier: tier.and_then(|tier| ServiceTier::new(u8::try_from(tier).ok()?)),
        deadline: deadline.map(Duration::from_millis),
        non_idempotent: flag(request, FrontHeaders::NON_IDEMPOTENT)?,
        join_only: request.method() == http_types::Method::Get,
        max_tokens: max_tokens
            .and_then(|tokens| u32::try_from(tokens).ok())
            .unwrap_or(MAX_TOKENS_DEFAULT),
        body: ByteChunk::from(body),
    })
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn idempotency_key(request: &Request) -> Result<Option<String>, FrontError> {
    const KEY_MAX_BYTES: usize = 256;
    let name = FrontHeaders::IDEMPOTENCY_KEY;
    let Some(key) = header(request, name) else { return Ok(None) };
    let reason = format!("a key has 1 to {KEY_MAX_BYTES} bytes");
    let is_valid = !key.is_empty() && key.len() <= KEY_MAX_BYTES;
    is_valid.then(|| Some(key.to_owned())).context(BadHeaderSnafu { header: name, reason })
}

fn number(request: &Request, name: &'static str, max: u64) -> Result<Option<u64>, FrontError> {
    let Some(text) = header(request, name) else { return Ok(None) };
    let number = text.parse().ok().filter(|number| *number <= max);
    let reason = format!("'{text}' is not a whole number up to {max}");
    number.map(Some).context(BadHeaderSnafu { header: name, reason })
}

fn flag(request: &Request, name: &'static str) -> Result<bool, FrontError> {
    match header(request, name) {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(text) => {
            let reason = format!("'{text}' is neither 'true' nor 'false'");
            BadHeaderSnafu { header: name, reason }.fail()
        }
    }
}
