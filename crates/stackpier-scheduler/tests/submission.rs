// SPDX-License-Identifier: Apache-2.0
//! What the store holds under the key of a job.

use rstest::rstest;
use stackpier_core::key;
use stackpier_protocol::codec::{decode, encode};
use stackpier_scheduler::{
    store::Item,
    submission::{self, Content},
};
use stackpier_state::job::Record;

const JOB: key::Job = key::Job(7);

fn item(key: &str, value: &[u8]) -> Item {
    Item {
        key: key.to_owned(),
        value: value.to_vec(),
        revision: 1,
    }
}

/// Guards against a job that counts as cancelled, and is removed, because its entry can't be read.
#[rstest]
#[case::empty(b"")]
#[case::cut(b"tomb")]
fn an_unreadable_entry_is_no_tombstone(#[case] value: &[u8]) {
    let key = &submission::tombstones(&[(JOB, 0)]).puts[0].key;
    let item = item(key, value);
    assert!(!submission::is_tombstone(&item));
    assert!(Content::try_from(&item).is_err());
}

/// Guards against earlier builds that take a tombstone for a job: they decode it as a record.
#[test]
fn a_tombstone_is_no_record() {
    let put = &submission::tombstones(&[(JOB, 0)]).puts[0];
    let item = item(&put.key, &put.value);
    assert!(matches!(Content::try_from(&item), Ok(Content::Tombstone)));
    assert!(decode::<Record>(&put.value).is_err());
}

/// Guards against tombstones that hold against some acceptances only: the key of a tombstone is the
/// one that every acceptance requires to be absent.
#[test]
fn an_acceptance_depends_on_there_being_no_tombstone() {
    let acceptance = submission::acceptance(JOB, &Record::default(), 1).expect("it is encoded");
    let tombstone = submission::tombstones(&[(JOB, 0)]);
    let key = &tombstone.puts[0].key;
    let conditions = |transaction: &stackpier_scheduler::store::Transaction| {
        let rows = transaction.conditions.iter();
        rows.filter(|row| row.key == *key && row.revision == 0)
            .count()
    };
    assert_eq!(conditions(&acceptance), 1);
    assert_eq!(conditions(&submission::rejection(JOB)), 1);
    assert_eq!(conditions(&tombstone), 1);
}

/// Guards against a trimmed record that counts as a tombstone: the job has existed.
#[test]
fn a_trimmed_record_is_no_tombstone() {
    let value = encode(&Record::trimmed()).expect("it is encoded");
    let key = &submission::tombstones(&[(JOB, 0)]).puts[0].key;
    assert!(matches!(
        Content::try_from(&item(key, &value)),
        Ok(Content::Job(_))
    ));
}
