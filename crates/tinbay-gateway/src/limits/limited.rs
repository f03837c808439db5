//! Rate limits that are enforced over all boxes together, with their keys and terms.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tinbay_core::accounts::account::Account;
use tinbay_core::limits::terms::LimitTerms;
use tinbay_core::serving::servers::Fingerprint;

use crate::members::box_fingerprint;
use crate::node::Node;
use crate::servers::Server;

/// Key of a limit, also used in messages between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LimitKey {
    /// Limit of a client account, by the fingerprint of its name.
    Account(Fingerprint),
    /// Limit of one incarnation of a server, by its fingerprint.
    Server(Fingerprint),
}

/// What has a home: one box that counts for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Homed<'a> {
    /// Key by which boxes refer to it.
    pub key: LimitKey,
    /// Name from which all boxes select the home.
    pub name: &'a str,
}

/// A rate limit that is enforced over all boxes.
#[derive(Debug, Clone)]
pub struct Limited {
    /// Key by which boxes refer to it.
    pub key: LimitKey,
    /// Name from which all boxes select the home of the limit.
    pub name: Rc<str>,
    /// Rate and burst terms.
    pub terms: LimitTerms,
}

impl Limited {
    /// The key and name from which its home is selected.
    pub fn homed(&self) -> Homed<'_> {
        Homed {
            key: self.key,
            name: &self.name,
        }
    }

    /// Returns the limit of a client account; `None` if it is not limited.
    pub fn of_account(node: &Node, account: &Account) -> Option<Self> {
        let overdraft = node.settings.borrow().bounds.limit_overdraft;
        Some(Self {
            key: LimitKey::Account(box_fingerprint(&account.name)),
            name: Rc::clone(&account.name),
            terms: LimitTerms::of_account(account.limit?, overdraft),
        })
    }

    /// Returns the limit that a server announces, or that it has while it is slow after its start;
    /// `None` if it has none.
    pub fn of_server(node: &Node, server: &Server) -> Option<Self> {
        let per_s = server.limit_per_s()?;
        let terms = if server.announced_limit_per_s() == Some(per_s) {
            let binds_after_ms = node.settings.borrow().bounds.server_limit_binds_after_ms;
            let known_for_ms = server.limit_known_for_ms(node.now_ms());
            LimitTerms::of_server(per_s, binds_after_ms, known_for_ms)
        } else {
            LimitTerms::of_slow_start(per_s)
        };
        Some(Self {
            key: LimitKey::Server(server.fingerprint()),
            name: server.record().id.as_str().into(),
            terms,
        })
    }

    /// Returns the limit of a key; `None` if this box doesn't know one.
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
