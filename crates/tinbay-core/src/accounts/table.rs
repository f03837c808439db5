//! Index of the client accounts of one configuration.

use std::collections::HashMap;
use std::rc::Rc;

use super::account::Account;
use super::key::KeyDigest;

/// The accounts of a configuration are invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    /// Two accounts hold the same key.
    #[error("accounts {first} and {second} hold the same key")]
    KeyTwice {
        /// Name of the account that comes first.
        first: String,
        /// Name of the account that repeats the key.
        second: String,
    },
    /// Two accounts have the same name.
    #[error("two accounts are named {name}")]
    NameTwice {
        /// The repeated name.
        name: String,
    },
}

/// The client accounts of one configuration, by key and by name. Requests need a key if there is
/// at least one account.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountTable {
    by_key: HashMap<KeyDigest, Rc<Account>>,
    by_name: HashMap<Rc<str>, Rc<Account>>,
}

impl AccountTable {
    /// Builds the index.
    ///
    /// # Errors
    /// When two accounts share a key or a name.
    pub fn new(accounts: Vec<Account>) -> Result<Self, AccountError> {
        let mut table = Self::default();
        for account in accounts {
            table.add(Rc::new(account))?;
        }
        Ok(table)
    }

    fn add(&mut self, account: Rc<Account>) -> Result<(), AccountError> {
        for key in &account.keys {
            let before = self.by_key.insert(*key, Rc::clone(&account));
            if let Some(other) = before.filter(|other| other.name != account.name) {
                return Err(AccountError::KeyTwice {
                    first: other.name.to_string(),
                    second: account.name.to_string(),
                });
            }
        }
        let name = Rc::clone(&account.name);
        match self.by_name.insert(Rc::clone(&name), account) {
            None => Ok(()),
            Some(_) => Err(AccountError::NameTwice {
                name: name.to_string(),
            }),
        }
    }

    /// Whether there are no accounts, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The account that a key belongs to.
    pub fn by_key(&self, key: KeyDigest) -> Option<Rc<Account>> {
        self.by_key.get(&key).cloned()
    }

    /// All accounts, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Account>> {
        self.by_name.values()
    }
}
