//! Tests of the configuration store and of the validation of changes.

use quickcheck::QuickCheck;
use tinbay_core::config::{
    Adapter, Class, ConfigError, ConfigKey, ConfigObject, ConfigStore, Kind, PolicySpec, Version,
    check_delete, check_object,
};

fn class(name: &str, max_wait_ms: u64) -> ConfigObject {
    ConfigObject::Class(Class {
        name: name.to_owned(),
        rank: 1,
        urgent: false,
        max_wait_ms,
        repeatable: true,
        policy: None,
    })
}

fn adapter(name: &str) -> ConfigObject {
    ConfigObject::Adapter(Adapter {
        name: name.to_owned(),
        organisation: "organisation".to_owned(),
        base_model: "base".to_owned(),
    })
}

fn version(adapter: &str, weights: &str) -> ConfigObject {
    ConfigObject::Version(Version {
        adapter: adapter.to_owned(),
        name: "v1".to_owned(),
        weights: weights.to_owned(),
    })
}

fn put(store: &ConfigStore, revision: i64, object: &ConfigObject) -> bool {
    store.apply(&object.key(), revision, Some(object.clone()))
}

fn wait_of(store: &ConfigStore, name: &str) -> Option<u64> {
    store.class(name).map(|class| class.max_wait_ms)
}

#[test]
fn apply_lower_revision_changes_nothing() {
    let store = ConfigStore::default();
    assert!(put(&store, 5, &class("a", 50)));
    assert!(!put(&store, 4, &class("a", 40)));
    assert_eq!(wait_of(&store, "a"), Some(50));
}

#[test]
fn apply_older_write_does_not_revive_deleted() {
    let store = ConfigStore::default();
    let object = class("a", 1);
    put(&store, 1, &object);
    store.apply(&object.key(), 9, None);
    assert!(!put(&store, 8, &object));
    assert_eq!(store.class("a"), None);
}

#[test]
fn apply_any_order_ends_at_the_highest_revision() {
    fn holds(revisions: Vec<u8>) -> bool {
        let store = ConfigStore::default();
        for revision in &revisions {
            let object = class("a", u64::from(*revision) + 1);
            put(&store, i64::from(*revision) + 1, &object);
        }
        let highest = revisions
            .iter()
            .max()
            .map(|revision| u64::from(*revision) + 1);
        wait_of(&store, "a") == highest
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn update_since_brings_another_store_level() {
    // For any writes and deletions, and any state of the other store.
    fn holds(changes: Vec<(u8, bool)>, split: usize) -> bool {
        let (ours, theirs) = (ConfigStore::default(), ConfigStore::default());
        let split = split % (changes.len() + 1);
        for (index, (name, deleted)) in changes.iter().enumerate() {
            let revision = index as i64 + 1;
            let object = class(&format!("class-{}", name % 5), revision as u64);
            let written = (!deleted).then(|| object.clone());
            ours.apply(&object.key(), revision, written.clone());
            ours.advance(revision);
            if index < split {
                theirs.apply(&object.key(), revision, written);
                theirs.advance(revision);
            }
        }
        theirs.apply_update(&ours.update_since(theirs.in_force()));
        theirs.list_all() == ours.list_all() && theirs.in_force() == ours.in_force()
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(holds as fn(Vec<(u8, bool)>, usize) -> bool);
}

#[test]
fn apply_update_whole_deletes_what_is_not_named() {
    let (ours, theirs) = (ConfigStore::default(), ConfigStore::default());
    put(&theirs, 1, &class("old", 1));
    put(&ours, 2, &class("new", 2));
    ours.advance(3);
    let mut update = ours.update_since(0);
    update.whole = true;
    theirs.apply_update(&update);
    assert_eq!(theirs.list_all(), ours.list_all());
}

#[test]
fn check_version_without_adapter_is_refused() {
    let store = ConfigStore::default();
    let object = version("nobody", "store://x");
    assert!(matches!(
        check_object(&object, &store, &[]),
        Err(ConfigError::Missing { .. })
    ));
    assert_eq!(check_object(&object, &store, &[adapter("nobody")]), Ok(()));
}

#[test]
fn check_version_with_other_weights_is_refused() {
    let store = ConfigStore::default();
    put(&store, 1, &adapter("a"));
    put(&store, 2, &version("a", "store://one"));
    assert_eq!(
        check_object(&version("a", "store://one"), &store, &[]),
        Ok(())
    );
    assert!(matches!(
        check_object(&version("a", "store://two"), &store, &[]),
        Err(ConfigError::VersionChanged(_))
    ));
}

#[test]
fn check_bad_name_is_refused() {
    let store = ConfigStore::default();
    for name in ["", "a b", "a/b", "a@b", "ä"] {
        let refused = check_object(&adapter(name), &store, &[]);
        assert!(matches!(refused, Err(ConfigError::Name(_))), "{name:?}");
    }
}

#[test]
fn check_policy_that_does_not_compile_names_the_place() {
    let object = ConfigObject::Policy(PolicySpec {
        name: "default".to_owned(),
        program: "fn classify(request) {\n  let = 1;\n}".to_owned(),
    });
    let refused = check_object(&object, &ConfigStore::default(), &[]);
    let text = refused.expect_err("refused").to_string();
    assert!(text.contains("line 2"), "{text}");
}

#[test]
fn check_delete_of_used_adapter_is_refused() {
    let store = ConfigStore::default();
    put(&store, 1, &adapter("a"));
    put(&store, 2, &version("a", "store://one"));
    let key = ConfigKey::new(Kind::Adapter, "a");
    assert!(matches!(
        check_delete(&key, &store),
        Err(ConfigError::InUse { .. })
    ));
}
