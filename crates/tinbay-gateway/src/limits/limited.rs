//! What a limit binds, and how it is kept.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tinbay_core::accounts::account::Account;
use tinbay_core::limits::terms::LimitTerms;
use tinbay_core::serving::servers::Fingerprint;

use crate::members::box_fingerprint;
use crate::node::Node;
use crate::servers::Server;

/// The short name of a limit, in messages between boxes as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LimitKey {
    /// Of a client account, by its name.
    Account(Fingerprint),
    /// Of one incarnation of a server.
    Server(Fingerprint),
}

/// A limit over all boxes.
#[derive(Debug, Clone)]
pub struct Limited {
    /// Its short name.
    pub key: LimitKey,
    /// Name by which all boxes draw its home.
    pub name: Rc<str>,
    /// How it is kept.
    pub terms: LimitTerms,
}

impl Limited {
    /// The limit of a client account; none where it is not limited.
    pub fn of_account(node: &Node, account: &Account) -> Option<Self> {
        let overdraft = node.settings.borrow().bounds.limit_overdraft;
        Some(Self {
            key: LimitKey::Account(box_fingerprint(&account.name)),
            name: Rc::clone(&account.name),
            terms: LimitTerms::of_account(account.limit?, overdraft),
        })
    }

    /// The limit that a server names; none while it names none.
    pub fn of_server(node: &Node, server: &Server) -> Option<Self> {
        let per_s = server.limit_per_s()?;
        let binds_after_ms = node.settings.borrow().bounds.server_limit_binds_after_ms;
        let known_for_ms = server.limit_known_for_ms(node.now_ms());
        Some(Self {
            key: LimitKey::Server(server.fingerprint()),
            name: server.record().id.as_str().into(),
            terms: LimitTerms::of_server(per_s, binds_after_ms, known_for_ms),
        })
    }

    /// The limit of a short name, as far as this box knows one.
    pub fn find(node: &Node, key: LimitKey) -> Option<Self> {
        match key {
            LimitKey::Account(account) => {
                let account = node.in_force()?.account_of(account)?;
                Self::of_account(node, &account)
            }
            LimitKey::Server(server) => {
                let server = node.servers.borrow().by_fingerprint(server)?;
                Self::of_server(node, &server)
            }
        }
    }
}
