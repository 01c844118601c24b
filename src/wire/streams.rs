//! Messages by which entries share where streams began.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use capnp::Error;
use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use capnp::struct_list;

use crate::almondramp_capnp::stream_group;
use crate::almondramp_capnp::stream_message;
use crate::almondramp_capnp::stream_message::Which;
use crate::directory::SoftwareVersion;
use crate::name::Name;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamRecord;
use crate::units::millis;
use crate::wire::list_len;

#[cfg(test)]
mod tests;

/// Message between entries about streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamMessage {
    /// The sender has begun these streams.
    Began(Vec<StreamRecord>),
    /// The sender asks where a stream began.
    Query(StreamQuery),
    /// The answer to a query.
    Reply(StreamReply),
}

/// Question where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamQuery {
    /// Identifies the query at its sender.
    pub number: u64,
    /// The stream; `None` if its caller doesn't name it.
    pub stream: Option<StreamId>,
    /// The service of the stream.
    pub service: Name,
    /// The longest time ago that the stream began.
    pub timeout: Duration,
}

/// Answer to a [`StreamQuery`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamReply {
    /// The number of the query.
    pub number: u64,
    /// The record of the stream, if the answering entry has one.
    pub record: Option<StreamRecord>,
    /// The versions that upstreams of the service have had within the timeout.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// Encodes a message.
pub fn encode(message: &StreamMessage) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<stream_message::Builder<'_>>();
    match message {
        StreamMessage::Began(records) => {
            let groups = group(records);
            write_groups(&groups, root.init_began(list_len(&groups)));
        }
        StreamMessage::Query(query) => {
            let mut out = root.init_query();
            out.set_number(query.number);
            out.set_stream(query.stream.map_or(0, |s| s.0));
            out.set_service(query.service.as_str());
            out.set_timeout_millis(millis(query.timeout));
        }
        StreamMessage::Reply(reply) => {
            let mut out = root.reborrow().init_reply();
            out.set_number(reply.number);
            let groups = group(reply.record.as_slice());
            write_groups(&groups, out.reborrow().init_known(list_len(&groups)));
            let versions: Vec<&SoftwareVersion> = reply.versions.iter().collect();
            let mut list = out.init_versions(list_len(&versions));
            for (i, version) in (0..).zip(versions) {
                list.set(i, version_text(version));
            }
        }
    }
    serialize::write_message_to_words(&builder)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message is not valid.
pub fn decode(mut words: &[u8]) -> Result<StreamMessage, Error> {
    let reader = serialize::read_message(&mut words, ReaderOptions::new())?;
    let root = reader.get_root::<stream_message::Reader<'_>>()?;
    Ok(match root.which()? {
        Which::Began(groups) => StreamMessage::Began(read_groups(groups?)?),
        Which::Query(query) => {
            let query = query?;
            StreamMessage::Query(StreamQuery {
                number: query.get_number(),
                stream: Some(StreamId(query.get_stream())).filter(|s| s.0 != 0),
                service: Name::new(query.get_service()?.to_str()?),
                timeout: Duration::from_millis(query.get_timeout_millis()),
            })
        }
        Which::Reply(reply) => {
            let reply = reply?;
            let versions = reply.get_versions()?;
            let versions = versions.iter().map(|v| Ok(read_version(v?.to_str()?)));
            StreamMessage::Reply(StreamReply {
                number: reply.get_number(),
                record: read_groups(reply.get_known()?)?.into_iter().next(),
                versions: versions.collect::<Result<_, Error>>()?,
            })
        }
    })
}

type Groups = Vec<((Name, SoftwareVersion), Vec<StreamRecord>)>;

/// Groups records by service and version.
fn group(records: &[StreamRecord]) -> Groups {
    let mut groups: BTreeMap<_, Vec<StreamRecord>> = BTreeMap::new();
    for record in records {
        let key = (record.service.clone(), record.version.clone());
        groups.entry(key).or_default().push(record.clone());
    }
    groups.into_iter().collect()
}

fn write_groups(groups: &Groups, mut list: struct_list::Builder<'_, stream_group::Owned>) {
    for (i, ((service, version), records)) in (0..).zip(groups) {
        let mut out = list.reborrow().get(i);
        out.set_service(service.as_str());
        out.set_version(version_text(version));
        let needed_for = records.iter().map(|r| r.needed_for).max();
        out.set_needed_millis(millis(needed_for.unwrap_or_default()));
        let mut streams = out.init_streams(list_len(records));
        for (i, record) in (0..).zip(records) {
            streams.set(i, record.stream.0);
        }
    }
}

fn read_groups(
    groups: struct_list::Reader<'_, stream_group::Owned>,
) -> Result<Vec<StreamRecord>, Error> {
    let mut records = Vec::new();
    for group in groups {
        let service = Name::new(group.get_service()?.to_str()?);
        let version = read_version(group.get_version()?.to_str()?);
        let needed_for = Duration::from_millis(group.get_needed_millis());
        records.extend(group.get_streams()?.iter().map(|stream| StreamRecord {
            stream: StreamId(stream),
            service: service.clone(),
            version: version.clone(),
            needed_for,
        }));
    }
    Ok(records)
}

fn version_text(version: &SoftwareVersion) -> &str {
    version.as_deref().unwrap_or_default()
}

fn read_version(text: &str) -> SoftwareVersion {
    (!text.is_empty()).then(|| Name::new(text))
}
