use kwg_model::{AccountName, CallSubmission, DispatchTicket};

use super::key_table::{KeyTable, KeyedSubmission};
use super::mint_table::{MintTable, MintWaiter};
use crate::filter::{ClaimFilter, FlowContext, FlowPipe};
use crate::{CallRejection, CallerKey, CallerReply, TrafficOutput};

/// Obtains tickets from outside this core: minted in another failure domain, or bound to an
/// idempotency key by the table service.
#[derive(Debug, Default)]
pub(crate) struct TicketHandler {
    mints: MintTable,
    keys: KeyTable,
}

impl TicketHandler {
    /// Requests tickets for a caller from a router in another failure domain.
    pub(crate) fn request_remote(
        &mut self,
        context: &FlowContext<'_>,
        caller: CallerKey,
        account: AccountName,
        count: u16,
        pipe: &mut FlowPipe<'_>,
    ) {
        let waiter = MintWaiter::Caller(caller);
        if !self.mints.request(context, waiter, account, count, pipe) {
            reply(caller, CallerReply::Rejected(CallRejection::NoOtherDomain), pipe.outputs);
        }
    }

    /// Requests a ticket for a submission with an idempotency key, and then binds the key to it.
    pub(crate) fn on_keyed(
        &mut self,
        context: &FlowContext<'_>,
        claim: &mut ClaimFilter,
        caller: CallerKey,
        submission: CallSubmission,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (account, needs_other_domain) = (submission.account.clone(), submission.non_idempotent);
        let request = self.keys.insert(caller, submission);
        if needs_other_domain {
            let waiter = MintWaiter::Keyed(request);
            if !self.mints.request(context, waiter, account, 1, pipe) {
                self.reject_keyed(request, CallRejection::NoOtherDomain, pipe.outputs);
            }
            return;
        }
        match claim.mint(context.now, &account, 1) {
            Some(Ok(tickets)) => self.bind_key(request, tickets, pipe.outputs),
            Some(Err(error)) => {
                self.reject_keyed(request, CallRejection::ticket_limit(&error), pipe.outputs);
            }
            None => self.reject_keyed(request, CallRejection::ShuttingDown, pipe.outputs),
        }
    }

    /// Delivers minted tickets to their recipient.
    ///
    /// `tickets` is empty if the other router refused or did not reply.
    pub(crate) fn on_minted(
        &mut self,
        request: u64,
        tickets: Vec<DispatchTicket>,
        outputs: &mut Vec<TrafficOutput>,
    ) {
        match self.mints.take(request) {
            Some(MintWaiter::Caller(caller)) if tickets.is_empty() => {
                reply(caller, CallerReply::Rejected(CallRejection::NoOtherDomain), outputs);
            }
            Some(MintWaiter::Caller(caller)) => {
                reply(caller, CallerReply::Tickets(tickets), outputs);
            }
            Some(MintWaiter::Keyed(request)) => self.bind_key(request, tickets, outputs),
            None => {}
        }
    }

    pub(crate) fn reject_keyed(
        &mut self,
        request: u64,
        rejection: CallRejection,
        outputs: &mut Vec<TrafficOutput>,
    ) {
        if let Some(pending) = self.keys.take(request) {
            reply(pending.caller, CallerReply::Rejected(rejection), outputs);
        }
    }

    /// Removes and returns a submission whose ticket is now known.
    pub(crate) fn take_submission(&mut self, request: u64) -> Option<KeyedSubmission> {
        self.keys.take(request)
    }

    /// Returns whether no request for a ticket is outstanding.
    pub(crate) fn is_empty(&self) -> bool {
        self.mints.is_empty() && self.keys.is_empty()
    }

    fn bind_key(
        &mut self,
        request: u64,
        tickets: Vec<DispatchTicket>,
        outputs: &mut Vec<TrafficOutput>,
    ) {
        match tickets.into_iter().next() {
            Some(ticket) => outputs.extend(self.keys.bind(request, ticket)),
            None => self.reject_keyed(request, CallRejection::NoOtherDomain, outputs),
        }
    }
}

fn reply(caller: CallerKey, reply: CallerReply, outputs: &mut Vec<TrafficOutput>) {
    outputs.push(TrafficOutput::Reply { caller, reply });
}
