#pragma once

#include <acaciarail/core/error.h>
#include <acaciarail/core/fleet_info.h>
#include <acaciarail/core/job.h>
#include <acaciarail/core/log_entry.h>
#include <acaciarail/core/names.h>
#include <acaciarail/core/policy.h>
#include <acaciarail/core/shape.h>
#include <acaciarail/core/term.h>
#include <acaciarail/core/time.h>

#include <msgpack.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <variant>

namespace Acaciarail {

/// Lists the fields of a structure in the order in which they are encoded.
/// Specialise it with ACACIARAIL_WIRE_STRUCT. A structure is encoded as an array; new fields go to the end.
template<typename T>
struct WireFields;

/// Number of enumerators; values at or above it are refused when decoding. Specialise it for each encoded enumeration.
template<typename T>
struct WireEnum;

template<typename T>
concept WireStruct = requires(T &value)
{
    WireFields<T>::tie(value);
};

template<typename T>
concept WireEnumeration = std::is_enum_v<T> && requires
{
    WireEnum<T>::count;
};

/// Largest encoded message in bytes; larger input is refused before it is decoded.
inline constexpr std::size_t maxWireBytes = std::size_t{1024} * 1024;

/// Encodes \a value with msgpack. \pre T is encodable. Thread-safe.
template<typename T>
[[nodiscard]] auto encode(const T &value) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

namespace Detail {

/// Parses \a bytes and passes the object to \a convert; exceptions of msgpack are returned as errors.
template<typename Convert>
[[nodiscard]] auto decodeWith(std::string_view bytes, const Convert &convert) -> std::error_code
{
    if (bytes.size() > maxWireBytes) {
        return Error::TooLarge;
    }
    try {
        constexpr std::size_t maxItems = maxWireBytes;
        constexpr std::size_t maxDepth = 32;
        const msgpack::unpack_limit limit(maxItems, maxItems, maxWireBytes, maxWireBytes, maxWireBytes, maxDepth);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return Error::MalformedInput;
        }
        return convert(handle.get());
    } catch (const msgpack::unpack_error &) {
        return Error::MalformedInput;
    } catch (const msgpack::type_error &) {
        return Error::MalformedInput;
    }
}

} // namespace Detail

/// Decodes \a bytes into \a value. Surplus bytes, wrong types, values out of range and oversized input give an error
/// and leave \a value in a valid but unspecified state. \pre T is encodable. Thread-safe.
template<typename T>
[[nodiscard]] auto decode(std::string_view bytes, T &value) -> std::error_code
{
    return Detail::decodeWith(bytes, [&value](const msgpack::object &in) -> std::error_code {
        in.convert(value);
        return {};
    });
}

/// Version of the messages between the processes of the system, workers included.
inline constexpr std::uint32_t messageVersion = 1;

/// Encodes a variant of message structures as `[version, alternative, fields]`. \pre every alternative is encodable. Thread-safe.
template<typename... T>
[[nodiscard]] auto encodeMessage(const std::variant<T...> &message) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(3);
    out.pack(messageVersion);
    out.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&out](const auto &body) { out.pack(body); }, message);
    return {buf.data(), buf.size()};
}

/// Decodes what encodeMessage() wrote. Another version gives Error::UnknownVersion, any other fault Error::MalformedInput or
/// Error::TooLarge. \pre every alternative is encodable. Thread-safe.
template<typename... T>
[[nodiscard]] auto decodeMessage(std::string_view bytes, std::variant<T...> &message) -> std::error_code
{
    return Detail::decodeWith(bytes, [&message](const msgpack::object &in) -> std::error_code {
        if (in.type != msgpack::type::ARRAY || in.via.array.size < 3) {
            return Error::MalformedInput;
        }
        if (in.via.array.ptr[0].as<std::uint32_t>() != messageVersion) {
            return Error::UnknownVersion;
        }
        const auto alternative = in.via.array.ptr[1].as<std::uint32_t>();
        const auto &body = in.via.array.ptr[2];
        std::uint32_t i = 0;
        const auto tryAlternative = [&]<typename Alternative>(std::type_identity<Alternative>) {
            if (i++ == alternative) {
                message = body.as<Alternative>();
            }
        };
        (tryAlternative(std::type_identity<T>{}), ...);
        return alternative < sizeof...(T) ? std::error_code{} : Error::MalformedInput;
    });
}

} // namespace Acaciarail

/// Declares the encoded fields of TYPE, for example `ACACIARAIL_WIRE_STRUCT(Point, v.x, v.y)`.
/// Used at global namespace scope.
#define ACACIARAIL_WIRE_STRUCT(TYPE, ...)                                                                                                  \
    template<>                                                                                                                             \
    struct Acaciarail::WireFields<TYPE>                                                                                                    \
    {                                                                                                                                      \
        template<typename V>                                                                                                               \
        static auto tie(V &v)                                                                                                              \
        {                                                                                                                                  \
            return std::tie(__VA_ARGS__);                                                                                                  \
        }                                                                                                                                  \
    }

/// Declares TYPE as an encoded enumeration whose largest enumerator is LAST.
#define ACACIARAIL_WIRE_ENUM(TYPE, LAST)                                                                                                   \
    template<>                                                                                                                             \
    struct Acaciarail::WireEnum<TYPE>                                                                                                      \
    {                                                                                                                                      \
        static constexpr std::uint64_t count = static_cast<std::uint64_t>(LAST) + 1;                                                       \
    }

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template<Acaciarail::WireStruct T>
    struct pack<T>
    {
        template<typename Stream>
        auto operator()(msgpack::packer<Stream> &out, const T &value) const -> msgpack::packer<Stream> &
        {
            const auto fields = Acaciarail::WireFields<T>::tie(value);
            out.pack_array(std::tuple_size_v<decltype(fields)>);
            std::apply([&out](const auto &...field) { (out.pack(field), ...); }, fields);
            return out;
        }
    };

    template<Acaciarail::WireStruct T>
    struct convert<T>
    {
        auto operator()(const msgpack::object &in, T &value) const -> const msgpack::object &
        {
            if (in.type != msgpack::type::ARRAY || in.via.array.size == 0) {
                throw msgpack::type_error();
            }
            // An older writer sends fewer fields, which keep their defaults; surplus fields of a newer one are ignored.
            std::size_t i = 0;
            const auto next = [&in, &i](auto &field) {
                if (i < in.via.array.size) {
                    in.via.array.ptr[i].convert(field);
                }
                ++i;
            };
            std::apply([&next](auto &...field) { (next(field), ...); }, Acaciarail::WireFields<T>::tie(value));
            return in;
        }
    };

    template<Acaciarail::WireEnumeration T>
    struct pack<T>
    {
        template<typename Stream>
        auto operator()(msgpack::packer<Stream> &out, T value) const -> msgpack::packer<Stream> &
        {
            return out.pack(static_cast<std::uint64_t>(value));
        }
    };

    template<Acaciarail::WireEnumeration T>
    struct convert<T>
    {
        auto operator()(const msgpack::object &in, T &value) const -> const msgpack::object &
        {
            const auto n = in.as<std::uint64_t>();
            if (n >= Acaciarail::WireEnum<T>::count) {
                throw msgpack::type_error();
            }
            value = static_cast<T>(n);
            return in;
        }
    };

    template<typename Tag>
    struct pack<Acaciarail::Name<Tag>>
    {
        template<typename Stream>
        auto operator()(msgpack::packer<Stream> &out, const Acaciarail::Name<Tag> &value) const -> msgpack::packer<Stream> &
        {
            return out.pack(value.str());
        }
    };

    template<typename Tag>
    struct convert<Acaciarail::Name<Tag>>
    {
        auto operator()(const msgpack::object &in, Acaciarail::Name<Tag> &value) const -> const msgpack::object &
        {
            value = Acaciarail::Name<Tag>(in.as<std::string>());
            return in;
        }
    };

    template<>
    struct pack<Acaciarail::Duration>
    {
        template<typename Stream>
        auto operator()(msgpack::packer<Stream> &out, Acaciarail::Duration value) const -> msgpack::packer<Stream> &
        {
            return out.pack(std::int64_t{value.count()});
        }
    };

    template<>
    struct convert<Acaciarail::Duration>
    {
        auto operator()(const msgpack::object &in, Acaciarail::Duration &value) const -> const msgpack::object &
        {
            value = Acaciarail::Duration(in.as<std::int64_t>());
            return in;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

ACACIARAIL_WIRE_ENUM(Acaciarail::Adjacency, Acaciarail::Adjacency::NeighbouringRacks);
ACACIARAIL_WIRE_ENUM(Acaciarail::Priority, Acaciarail::Priority::Background);
ACACIARAIL_WIRE_ENUM(Acaciarail::JobOutcome, Acaciarail::JobOutcome::Lost);
ACACIARAIL_WIRE_ENUM(Acaciarail::JobReason, Acaciarail::JobReason::QuotaExceeded);
ACACIARAIL_WIRE_ENUM(Acaciarail::AttemptEndKind, Acaciarail::AttemptEndKind::NotStarted);
ACACIARAIL_WIRE_ENUM(Acaciarail::Error, Acaciarail::Error::ConnectionLost);
ACACIARAIL_WIRE_ENUM(Acaciarail::Execution, Acaciarail::Execution::Unknown);

ACACIARAIL_WIRE_STRUCT(Acaciarail::Term, v.number, v.incarnation);
ACACIARAIL_WIRE_STRUCT(Acaciarail::LogEntry, v.offset, v.bytes);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Resources, v.accelerators, v.cores, v.memoryMiB);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Shape, v.tasks, v.perTask, v.adjacency);
ACACIARAIL_WIRE_STRUCT(Acaciarail::JobSpec, v.organisation, v.team, v.caller, v.name, v.kind, v.shape, v.priority, v.declaredRunTime,
                       v.startWithin, v.idempotent, v.checkpointable, v.zone);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Job, v.id, v.spec, v.zone);
ACACIARAIL_WIRE_STRUCT(Acaciarail::GangMember, v.worker, v.tasks);
ACACIARAIL_WIRE_STRUCT(Acaciarail::AttemptEnd, v.kind, v.worker, v.checkpointed);
ACACIARAIL_WIRE_STRUCT(Acaciarail::Failure, v.error, v.execution, v.detail);
ACACIARAIL_WIRE_STRUCT(Acaciarail::WorkerInfo, v.name, v.region, v.zone, v.rack, v.rackPosition, v.capacity, v.address);
