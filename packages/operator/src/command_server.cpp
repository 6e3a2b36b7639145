#include "command_context.h"
#include "printable.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

constexpr std::uint32_t statusOk = 200;

/// One span, as far as it is shown.
struct Span
{
    std::string id;
    std::string parent;
    std::string name;
    std::uint64_t startUs = 0;
    std::uint64_t durationUs = 0;
    Json attributes;
};

auto numberOf(const Json &json, const char *key) -> std::uint64_t
{
    JsonReader reader(json);
    return reader.integer(key);
}

/// The spans of all answers; a span that several servers returned counts once.
class SpanTree
{
public:
    auto add(const Json &spans) -> void
    {
        for (const auto &it : spans) {
            const Span span{
                cell(it, "span_id"),      cell(it, "parent_id"),       cell(it, "name"),
                numberOf(it, "start_us"), numberOf(it, "duration_us"), it.is_object() ? it.value("attributes", Json()) : Json()};
            if (m_ids.insert(span.id).second) {
                m_spans.push_back(span);
                m_json.push_back(it);
            }
        }
    }

    [[nodiscard]] auto json() const -> const Json &
    {
        return m_json;
    }

    /// Writes each span below its parent; spans whose parent is not known come first in the hierarchy.
    auto write(std::ostream &out) -> void
    {
        std::stable_sort(m_spans.begin(), m_spans.end(), [](const Span &a, const Span &b) { return a.startUs < b.startUs; });
        std::map<std::string, std::vector<const Span *>> children;
        std::vector<Row> stack;
        for (const auto &it : m_spans) {
            if (isRoot(it)) {
                stack.push_back({&it, 0});
            } else {
                children[it.parent].push_back(&it);
            }
        }
        std::reverse(stack.begin(), stack.end());
        while (!stack.empty()) {
            const auto row = stack.back();
            stack.pop_back();
            writeRow(out, row);
            auto &below = children[row.span->id];
            std::for_each(below.rbegin(), below.rend(), [&stack, &row](const Span *it) { stack.push_back({it, row.depth + 1}); });
            below.clear();
        }
    }

private:
    struct Row
    {
        const Span *span;
        std::size_t depth;
    };

    [[nodiscard]] auto isRoot(const Span &span) const -> bool
    {
        return span.parent == span.id || m_ids.count(span.parent) == 0;
    }

    static auto writeRow(std::ostream &out, const Row &row) -> void
    {
        constexpr std::size_t maxDepthShown = 32;
        out << std::string(2 * std::min(row.depth, maxDepthShown), ' ') << printable(row.span->name) << "  " << row.span->durationUs
            << " us";
        if (row.span->attributes.is_object()) {
            for (const auto &[key, value] : row.span->attributes.items()) {
                out << "  " << printable(key) << '=' << printable(value.is_string() ? value.get<std::string>() : jsonText(value));
            }
        }
        out << '\n';
    }

    std::vector<Span> m_spans;
    std::set<std::string> m_ids;
    Json m_json = Json::array();
};

} // namespace

auto runStatus(const CommandContext &context) -> ExitCode
{
    if (!context.options.arguments.empty()) {
        return reportUsage(context, "expected flags only, found " + quotedText(context.options.arguments.front()));
    }
    const auto result = call(context, {HttpMethod::Get, "/v1/status", {}, true});
    if (result.exitCode == ExitCode::Ok) {
        writeValue(context, result.json);
    }
    return result.exitCode;
}

auto runDrain(const CommandContext &context) -> ExitCode
{
    if (context.options.client.servers.size() != 1 || !context.options.arguments.empty()) {
        return reportUsage(context, "expected exactly one --server, the instance to drain, and no other argument");
    }
    const auto result = call(context, {HttpMethod::Post, "/v1/drain", {}, true});
    if (result.exitCode != ExitCode::Ok) {
        return result.exitCode;
    }
    if (context.isJson()) {
        context.out << jsonPage(result.json) << '\n';
    } else {
        context.out << serverText(context.options.client.servers.front()) << " is draining\n";
        writeValue(context, result.json);
    }
    return ExitCode::Ok;
}

auto runTrace(const CommandContext &context) -> ExitCode
{
    if (context.options.arguments.size() != 1) {
        return reportUsage(context, "expected one trace id, found " + std::to_string(context.options.arguments.size()));
    }
    const auto &id = context.options.arguments.front();
    HttpClient client(context.options.client);
    // Each instance keeps only its own spans.
    const auto replies = client.exchangeAll({HttpMethod::Get, "/v1/traces/" + pathSegment(id), {}, true});
    SpanTree tree;
    bool isFound = false;
    for (const auto &reply : replies) {
        const auto json = reply.end == HttpEnd::Answered && reply.status == statusOk ? parseJson(reply.body) : std::nullopt;
        if (json && json->is_object() && json->contains("spans")) {
            tree.add(json->at("spans"));
            isFound = true;
        } else if (reply.end != HttpEnd::Answered) {
            context.err << "warning: " << serverText(reply.server) << ": " << printable(reply.detail) << ", its spans are missing\n";
        }
    }
    if (!isFound) {
        const auto answered = std::find_if(replies.begin(), replies.end(), [](const HttpReply &it) { return it.end == HttpEnd::Answered; });
        return answered == replies.end() ? ExitCode::Unreachable : reportProblem(context, *answered);
    }
    if (context.isJson()) {
        context.out << jsonPage({{"spans", tree.json()}}) << '\n';
    } else {
        tree.write(context.out);
    }
    return ExitCode::Ok;
}

} // namespace Acaciarail::Operator::Detail
