//! Rendezvous hashing: all boxes rank the same candidates alike without communication.
//!
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! IEEE/ACM Transactions on Networking, 1998.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The score of `node` for `key`; the highest score wins.
pub fn score(key: &str, node: &str) -> u64 {
    score_of(xxh3_64_with_seed(key.as_bytes(), 0), node)
}

/// The score of `node` for a numeric key; the highest score wins.
pub fn score_of(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// The node with the highest score for `key`; ties are broken by name.
pub fn pick<'a, I>(key: &str, nodes: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    nodes
        .into_iter()
        .max_by_key(|node| (score(key, node), *node))
}

/// The `count` nodes with the highest scores for `key`, best first.
pub fn rank<'a, I>(key: &str, nodes: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut scored: Vec<(u64, &str)> = nodes
        .into_iter()
        .map(|node| (score(key, node), node))
        .collect();
    let kept = count.min(scored.len());
    if kept == 0 {
        return Vec::new();
    }
    scored.select_nth_unstable_by(kept - 1, |a, b| b.cmp(a));
    scored.truncate(kept);
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, node)| node).collect()
}
