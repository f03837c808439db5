//! The client accounts of one configuration, by their keys.

use std::collections::HashMap;
use std::rc::Rc;

use super::account::Account;
use super::key::KeyDigest;

/// Why accounts can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    /// Two accounts hold the same key.
    #[error("accounts {first} and {second} hold the same key")]
    KeyTwice {
        /// One of them.
        first: String,
        /// The other one.
        second: String,
    },
    /// Two accounts have the same name.
    #[error("two accounts are named {name}")]
    NameTwice {
        /// The name.
        name: String,
    },
}

/// The client accounts of one configuration; requests need a key where there is one at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountTable {
    by_key: HashMap<KeyDigest, Rc<Account>>,
    by_name: HashMap<Rc<str>, Rc<Account>>,
}

impl AccountTable {
    /// Sorts accounts by their keys.
    ///
    /// # Errors
    /// When a key or a name stands twice.
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

    /// Whether there is no account: requests need no key then.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The account that holds a key.
    pub fn by_key(&self, key: KeyDigest) -> Option<Rc<Account>> {
        self.by_key.get(&key).cloned()
    }

    /// All accounts.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Account>> {
        self.by_name.values()
    }
}
