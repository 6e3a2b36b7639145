#include "store_server.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace Acaciarail::Soak {

namespace {

using nlohmann::json;

constexpr Duration waiterInterval = 10ms;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
/// Limit of the platform for a page of newest records.
constexpr std::size_t maxPageItems = 500;
/// Number of appends for which the platform recognises a retry.
constexpr std::size_t maxRememberedAppends = 5;

auto appendBigEndian(std::string &out, std::uint64_t n, std::size_t bytes) -> void
{
    for (std::size_t i = bytes; i-- > 0;) {
        out += static_cast<char>((n >> (8 * i)) & 0xffU);
    }
}

auto readLength(const std::string &in, std::size_t at) -> std::size_t
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        n = n << 8U | static_cast<unsigned char>(in[at + i]);
    }
    return n;
}

auto base64(const std::string &in) -> std::string
{
    std::string out(4 * ((in.size() + 2) / 3) + 1, '\0');
    const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(in.data()),
                                   static_cast<int>(in.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

} // namespace

StoreServer::StoreServer(Runtime::EventLoop &loop, Ledger &ledger, std::size_t instances, std::uint64_t seed)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_random(seed)
{
    for (std::size_t i = 0; i < instances; ++i) {
        m_listeners.push_back(
            std::make_unique<HttpListener>(loop, [this, i](const HttpCall &call, const Respond &respond) { handle(i, call, respond); }));
    }
    serveWaiters();
}

auto StoreServer::address(std::size_t instance) const -> Runtime::SocketAddress
{
    return m_listeners.at(instance)->address();
}

auto StoreServer::withProbability(double probability) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

auto StoreServer::appendRecord(Topic &topic, const std::string &key, const std::string &value) -> void
{
    if (value.empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = {value, topic.end()};
    }
    topic.records.emplace_back(key, value);
}

auto StoreServer::put(const std::string &topic, const std::string &key, const std::string &value) -> void
{
    appendRecord(m_topics[topic], key, value);
}

auto StoreServer::expireRecords() -> void
{
    for (auto &[name, topic] : m_topics) {
        topic.first = topic.end();
        topic.records.clear();
    }
}

auto StoreServer::handle(std::size_t instance, const HttpCall &call, const Respond &respond) -> void
{
    if (availability == Availability::Unresponsive) {
        return;
    }
    if (availability == Availability::Unavailable) {
        respond({503, "{}"});
        return;
    }
    const bool isAppend = call.path == "/api/log-append";
    const bool late = isAppend && withProbability(lateAppendProbability);
    const bool lost = isAppend && withProbability(lostResponseProbability);
    const auto execute = [this, instance, call, respond, unanswered = late || lost] {
        if (call.path == "/api/log-append") {
            const auto reply = append(instance, call);
            if (!unanswered) {
                respond(reply);
            }
        } else if (call.path == "/api/log-read") {
            read(call, respond);
        } else if (call.path == "/api/log-newest") {
            respond(newest(call));
        } else {
            respond({404, "{}"});
        }
    };
    constexpr Duration::rep minLateMicroseconds = 1'000'000;
    constexpr Duration::rep maxLateMicroseconds = 5'000'000;
    const auto wait =
        late ? Duration(std::uniform_int_distribution<Duration::rep>(minLateMicroseconds, maxLateMicroseconds)(m_random)) : delay;
    m_loop.callAfter(wait, execute);
}

auto StoreServer::append(std::size_t instance, const HttpCall &call) -> HttpReply
{
    auto &topic = m_topics[call.query.at("topic")];
    if (call.query.contains("at") && call.queryNumber("at", 0) != topic.end()) {
        return {412, json{{"end", topic.end()}}.dump()};
    }
    if (call.query.contains("producer")) {
        const auto epoch = call.queryNumber("epoch", 0);
        const auto sequence = call.queryNumber("sequence", 0);
        if (epoch < topic.epoch) {
            return {409, json{{"reason", "fenced"}}.dump()};
        }
        if (epoch == topic.epoch) {
            if (const auto previous = topic.responses.find(sequence); previous != topic.responses.end()) {
                return {200, previous->second};
            }
            if (sequence != topic.nextSequence) {
                return {409, json{{"reason", "seq"}, {"sequence", topic.nextSequence}}.dump()};
            }
        } else {
            topic.responses.clear();
        }
        topic.epoch = epoch;
        topic.nextSequence = sequence + 1;
        const auto [writer, added] = m_epochWriters.emplace(epoch, instance);
        if (writer->second != instance) {
            m_ledger.addViolation("two instances wrote with term " + std::to_string(epoch));
        }
    }
    const auto first = topic.end();
    for (std::size_t at = 0; at + lengthBytes <= call.body.size();) {
        const auto n = readLength(call.body, at);
        const std::size_t keyBytes = static_cast<unsigned char>(call.body[at + lengthBytes]);
        const auto key = call.body.substr(at + lengthBytes + 1, keyBytes);
        appendRecord(topic, key, call.body.substr(at + lengthBytes + 1 + keyBytes, n - 1 - keyBytes));
        at += lengthBytes + n;
    }
    const auto response = json{{"offset", first}, {"end", topic.end()}}.dump();
    if (call.query.contains("producer")) {
        topic.responses[topic.nextSequence - 1] = response;
        while (topic.responses.size() > maxRememberedAppends) {
            topic.responses.erase(topic.responses.begin());
        }
    }
    return {200, response};
}

auto StoreServer::read(const HttpCall &call, const Respond &respond) -> void
{
    m_waiters.push_back({call.query.at("topic"), call.queryNumber("from", 0),
                         m_loop.now() + std::chrono::milliseconds(call.queryNumber("waitMs", 0)), respond});
}

auto StoreServer::serveWaiters() -> void
{
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        auto &topic = m_topics[it->topic];
        if (it->from >= topic.end() && m_loop.now() < it->until) {
            ++it;
            continue;
        }
        if (it->from < topic.first) {
            it->respond({410, json{{"first", topic.first}}.dump()});
        } else {
            std::string body;
            appendBigEndian(body, topic.end(), offsetBytes);
            appendBigEndian(body, topic.first, offsetBytes);
            for (auto n = it->from - topic.first; n < topic.records.size(); ++n) {
                const auto &[key, value] = topic.records[n];
                appendBigEndian(body, 1 + key.size() + value.size(), lengthBytes);
                body += static_cast<char>(key.size());
                body += key + value;
            }
            it->respond({200, std::move(body)});
        }
        it = m_waiters.erase(it);
    }
    m_loop.callAfter(waiterInterval, [this] { serveWaiters(); });
}

auto StoreServer::newest(const HttpCall &call) -> HttpReply
{
    auto &topic = m_topics[call.query.at("topic")];
    const auto after = call.query.find("dependsOn");
    auto items = json::array();
    auto it = after == call.query.end() ? topic.newest.begin() : topic.newest.upper_bound(after->second);
    for (; it != topic.newest.end() && items.size() < maxPageItems; ++it) {
        items.push_back({{"key", it->first}, {"value", base64(it->second.first)}, {"offset", it->second.second}});
    }
    return {200, json{{"items", items}, {"hasMore", it != topic.newest.end()}, {"end", topic.end()}}.dump()};
}

} // namespace Acaciarail::Soak
