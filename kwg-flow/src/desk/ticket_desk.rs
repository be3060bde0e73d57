use kwg_model::{AccountName, CallSubmission, DispatchTicket};

use super::key_desk::{KeyDesk, KeyWait};
use super::mint_desk::{MintDesk, MintPurpose};
use crate::filter::{ClaimFilter, FlowContext, FlowPipe};
use crate::{CallRejection, CallerKey, CallerReply, TrafficOutput};

/// Tickets that have to come from elsewhere: minted in another failure domain, or bound to a
/// caller's key by the table service.
#[derive(Debug, Default)]
pub(crate) struct TicketDesk {
    mints: MintDesk,
    keys: KeyDesk,
}

impl TicketDesk {
    /// Asks a router in another failure domain for tickets for a caller.
    pub(crate) fn ask_elsewhere(
        &mut self,
        context: &FlowContext<'_>,
        caller: CallerKey,
        account: AccountName,
        count: u16,
        pipe: &mut FlowPipe<'_>,
    ) {
        let purpose = MintPurpose::Caller(caller);
        if !self.mints.ask(context, purpose, account, count, pipe) {
            reply(caller, CallerReply::Rejected(CallRejection::NoOtherDomain), pipe.outputs);
        }
    }

    /// Has a ticket minted for a submission that comes with a key, and the key bound to it.
    pub(crate) fn on_keyed(
        &mut self,
        context: &FlowContext<'_>,
        claim: &mut ClaimFilter,
        caller: CallerKey,
        submission: CallSubmission,
        pipe: &mut FlowPipe<'_>,
    ) {
        let (account, elsewhere) = (submission.account.clone(), submission.non_idempotent);
        let request = self.keys.park(caller, submission);
        if elsewhere {
            let purpose = MintPurpose::Keyed(request);
            if !self.mints.ask(context, purpose, account, 1, pipe) {
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

    /// Passes tickets on to whoever waited for them; none if the other router refused.
    pub(crate) fn on_minted(
        &mut self,
        request: u64,
        tickets: Vec<DispatchTicket>,
        outputs: &mut Vec<TrafficOutput>,
    ) {
        match self.mints.take(request) {
            Some(MintPurpose::Caller(caller)) if tickets.is_empty() => {
                reply(caller, CallerReply::Rejected(CallRejection::NoOtherDomain), outputs);
            }
            Some(MintPurpose::Caller(caller)) => {
                reply(caller, CallerReply::Tickets(tickets), outputs);
            }
            Some(MintPurpose::Keyed(request)) => self.bind_key(request, tickets, outputs),
            None => {}
        }
    }

    pub(crate) fn reject_keyed(
        &mut self,
        request: u64,
        rejection: CallRejection,
        outputs: &mut Vec<TrafficOutput>,
    ) {
        if let Some(wait) = self.keys.take(request) {
            reply(wait.caller, CallerReply::Rejected(rejection), outputs);
        }
    }

    /// Takes a submission whose ticket is known now.
    pub(crate) fn take_keyed(&mut self, request: u64) -> Option<KeyWait> {
        self.keys.take(request)
    }

    /// Whether nobody waits for a ticket.
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
