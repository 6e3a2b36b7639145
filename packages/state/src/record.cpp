#include <acaciarail/state/record.h>

namespace Acaciarail::State {

namespace {

/// The body is encoded separately, so that a reader of another version can still decode the record's id.
struct Envelope
{
    RecordId id;
    std::int64_t writtenAtMs = 0;
    std::string body;
};

} // namespace

} // namespace Acaciarail::State

ACACIARAIL_WIRE_STRUCT(Acaciarail::State::Envelope, v.id, v.writtenAtMs, v.body);

namespace Acaciarail::State {

auto encodeRecord(const Record &record) -> std::string
{
    return encode(Envelope{record.id, record.writtenAt.count(), encodeMessage(record.body)});
}

auto decodeRecord(std::string_view bytes, Record &record) -> std::error_code
{
    Envelope envelope;
    if (const auto ec = decode(bytes, envelope)) {
        return ec;
    }
    record.id = envelope.id;
    record.writtenAt = std::chrono::milliseconds(envelope.writtenAtMs);
    return decodeMessage(envelope.body, record.body);
}

} // namespace Acaciarail::State
