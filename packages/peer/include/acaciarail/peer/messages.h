#pragma once

#include <acaciarail/core/wire.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Acaciarail::Peer {

/// A shard whose holder is the sender of the heartbeat.
struct HeldShard
{
    ZoneName zone;
    std::uint32_t shard = 0;
    Term term;
    std::uint64_t freeAccelerators = 0;
    std::uint32_t queuedJobs = 0;
};

/// Sent to other instances at a regular interval.
struct Heartbeat
{
    InstanceName instance;
    std::uint64_t incarnation = 0;
    ZoneName zone;
    /// Offset of the next log record that the sender will apply.
    LogOffset nextOffset = 0;
    bool draining = false;
    std::vector<HeldShard> held;
};

/// Requests log records from an offset on. The reply is Records, or SnapshotPart messages when the peer no longer has those records.
struct RecordsRequest
{
    LogOffset from = 0;
};

struct Records
{
    std::vector<LogEntry> entries;
};

/// Requests a snapshot of the peer's replica.
struct SnapshotRequest
{
    /// Next offset of the requesting instance. The peer replies with a snapshot only when that is newer.
    LogOffset from = 0;
};

/// Part \c index of \c count of the sender's replica as of \c nextOffset.
struct SnapshotPart
{
    LogOffset nextOffset = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;
};

/// Requests the explanation of a job whose shard the peer holds.
struct ExplainRequest
{
    std::uint64_t request = 0;
    JobId job;
};

struct ExplainReply
{
    std::uint64_t request = 0;
    bool found = false;
    /// JSON text.
    std::string explanation;
};

using Message = std::variant<Heartbeat, RecordsRequest, Records, SnapshotRequest, SnapshotPart, ExplainRequest, ExplainReply>;

} // namespace Acaciarail::Peer

ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::HeldShard, v.zone, v.shard, v.term, v.freeAccelerators, v.queuedJobs);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::Heartbeat, v.instance, v.incarnation, v.zone, v.nextOffset, v.draining, v.held);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::RecordsRequest, v.from);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::Records, v.entries);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::SnapshotRequest, v.from);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::SnapshotPart, v.nextOffset, v.index, v.count, v.bytes);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::ExplainRequest, v.request, v.job);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Peer::ExplainReply, v.request, v.found, v.explanation);
