use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Instant;

use crate::ReferenceAnswer;

/// Handle to one stream of an engine, shared by the engine and the stream's readers.
#[derive(Debug, Clone)]
pub(super) struct StreamHandle(Arc<Mutex<StreamState>>);

/// State of one stream: its answer so far, and the readers to wake on progress.
#[derive(Debug)]
pub(super) struct StreamState {
    body: Vec<u8>,
    tokens_left: u32,
    next_token: u32,
    /// When decoding may start.
    pub(super) prefill_ends_at: Instant,
    pub(super) text: Vec<u8>,
    pub(super) ended_at: Option<Instant>,
    pub(super) is_cancelled: bool,
    pub(super) wakers: Vec<Waker>,
}

impl StreamHandle {
    pub(super) fn new(body: Vec<u8>, tokens: u32, prefill_ends_at: Instant) -> Self {
        Self(Arc::new(Mutex::new(StreamState {
            body,
            tokens_left: tokens,
            next_token: 0,
            prefill_ends_at,
            text: Vec::new(),
            ended_at: None,
            is_cancelled: false,
            wakers: Vec::new(),
        })))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamState {
    pub(super) fn is_running(&self) -> bool {
        self.ended_at.is_none() && !self.is_cancelled
    }

    /// Decodes the next token once prefill is over, and wakes the readers.
    pub(super) fn step(&mut self, now: Instant) {
        if now < self.prefill_ends_at || !self.is_running() {
            return;
        }
        if self.tokens_left > 0 {
            let token = ReferenceAnswer::token(&self.body, self.next_token);
            self.text.extend_from_slice(token.as_bytes());
            self.next_token += 1;
            self.tokens_left -= 1;
        }
        if self.tokens_left == 0 {
            self.ended_at = Some(now);
        }
        self.wake();
    }

    pub(super) fn cancel(&mut self) {
        self.is_cancelled = true;
        self.wake();
    }

    pub(super) fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}
