use http_types::{Body, Response, StatusCode};
use kwg_http::StreamingBody;
use kwg_model::{CallOutcome, DispatchTicket, ResumeToken, SealKey};
use serde::Serialize;

use crate::answer_body::AnswerBody;
use crate::{FrontError, FrontHeaders};

/// Value of `retry-after` for a request that was not run, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

#[derive(Serialize)]
struct OutcomePage<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
}

#[derive(Serialize)]
struct TicketPage {
    tickets: Vec<String>,
}

/// Encodes the rejection of a request.
pub(crate) fn encode_error(error: &FrontError) -> Response {
    let page =
        OutcomePage { outcome: "rejected", reason: error.reason(), detail: &error.to_string() };
    encode_outcome(error.status(), &page)
}

/// Encodes the outcome of a request that ended before any of its answer was sent.
pub(crate) fn encode_failure(
    outcome: CallOutcome,
    ticket: Option<&DispatchTicket>,
    key: &SealKey,
) -> Response {
    let (status, detail) = match outcome {
        CallOutcome::NotRun(_) => (
            StatusCode::ServiceUnavailable,
            "the request was not run and never will be under this ticket",
        ),
        CallOutcome::Unknown(_) => {
            (StatusCode::BadGateway, "the request may or may not have been run")
        }
    };
    let page = OutcomePage { outcome: outcome.as_str(), reason: outcome.reason(), detail };
    let mut response = encode_outcome(status, &page);
    if let Some(ticket) = ticket {
        response.insert_header(FrontHeaders::TICKET, ticket.to_text(key));
    }
    if matches!(outcome, CallOutcome::NotRun(_)) {
        response.insert_header(FrontHeaders::RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    response
}

/// Encodes the head of an answer, with the body that streams it.
pub(crate) fn encode_answer(
    ticket: Option<&DispatchTicket>,
    token: &ResumeToken,
    key: &SealKey,
    body: AnswerBody,
) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    if let Some(ticket) = ticket {
        response.insert_header(FrontHeaders::TICKET, ticket.to_text(key));
    }
    response.insert_header(FrontHeaders::RESUME, token.to_text(key));
    response.insert_header("cache-control", "no-store");
    response.set_body(Body::from_reader(StreamingBody::new(body), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

/// Encodes the tickets that a caller asked for.
pub(crate) fn encode_tickets(tickets: &[DispatchTicket], key: &SealKey) -> Response {
    let tickets = tickets.iter().map(|ticket| ticket.to_text(key)).collect();
    json(StatusCode::Ok, &TicketPage { tickets })
}

pub(crate) fn json(status: StatusCode, page: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(page).expect("a struct of strings serializes"));
    response.insert_header("content-type", "application/json");
    response
}

fn encode_outcome(status: StatusCode, page: &OutcomePage<'_>) -> Response {
    let mut response = json(status, page);
    response.insert_header(FrontHeaders::OUTCOME, page.outcome);
    response.insert_header(FrontHeaders::REASON, page.reason);
    response
}
