#include <acaciarail/caller/problem.h>
#include <acaciarail/caller/request_parser.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Caller;
namespace data = boost::unit_test::data;

namespace {

auto makeRequest(HttpHeaders headers, const std::string &path = "/services/retake/work") -> HttpRequest
{
    HttpRequest request;
    request.method = HttpMethod::Post;
    request.path = path;
    request.headers = std::move(headers);
    return request;
}

struct FaultCase
{
    std::string name;
    HttpRequest request;
    Error error;
    /// Texts that the failure must contain.
    std::string field;
    std::string found;

    friend auto operator<<(std::ostream &out, const FaultCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

auto deadline(const std::string &value) -> HttpRequest
{
    return makeRequest({{"Acaciarail-Deadline-Ms", value}});
}

const FaultCase faultCases[] = {
    {"other path", makeRequest({}, "/v1/jobs"), Error::MalformedInput, "path", "'/v1/jobs'"},
    {"no service", makeRequest({}, "/services/"), Error::MalformedInput, "service", "''"},
    {"encoded service", makeRequest({}, "/services/a%2f/b"), Error::MalformedInput, "service", "'a%2f'"},
    {"long service", makeRequest({}, "/services/" + std::string(129, 'a')), Error::MalformedInput, "service", "..."},
    {"deadline zero", deadline("0"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'0'"},
    {"deadline negative", deadline("-5"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'-5'"},
    {"deadline signed", deadline("+5"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'+5'"},
    {"deadline huge", deadline("3600001"), Error::MalformedInput, "from 1 to 3600000", "'3600001'"},
    {"deadline overflow", deadline("18446744073709551617"), Error::MalformedInput, "Deadline", "'18446744073709551617'"},
    {"deadline fractional", deadline("1.5"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'1.5'"},
    {"deadline with unit", deadline("5ms"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'5ms'"},
    {"deadline with space", deadline("5 0"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'5 0'"},
    {"deadline exponent", deadline("1e3"), Error::MalformedInput, "Acaciarail-Deadline-Ms", "'1e3'"},
    {"deadline empty", deadline(""), Error::MalformedInput, "Acaciarail-Deadline-Ms", "''"},
    {"deadline twice", makeRequest({{"Acaciarail-Deadline-Ms", "5"}, {"acaciarail-deadline-ms", "6"}}), Error::MalformedInput,
     "acaciarail-deadline-ms", "several"},
    {"unknown priority", makeRequest({{"Acaciarail-Priority", "Urgent"}}), Error::MalformedInput, "urgent, normal or background",
     "'Urgent'"},
    {"unknown flag", makeRequest({{"Acaciarail-Idempotent", "yes"}}), Error::MalformedInput, "true or false", "'yes'"},
    {"misspelt header", makeRequest({{"Acaciarail-Idempotnet", "false"}}), Error::MalformedInput, "the nearest is acaciarail-idempotent",
     "unknown"},
    {"empty key", makeRequest({{"Idempotency-Key", ""}}), Error::MalformedInput, "Idempotency-Key", "''"},
    {"long key", makeRequest({{"Idempotency-Key", std::string(201, 'k')}}), Error::MalformedInput, "Idempotency-Key", "..."},
    {"key with space", makeRequest({{"Idempotency-Key", "a b"}}), Error::MalformedInput, "Idempotency-Key", "'a b'"},
    {"key with raw byte", makeRequest({{"Idempotency-Key", "a\xff"}}), Error::MalformedInput, "Idempotency-Key", "'a?'"},
    {"two keys", makeRequest({{"Idempotency-Key", "a"}, {"Idempotency-Key", "a"}}), Error::MalformedInput, "Idempotency-Key", "several"},
    {"basic scheme", makeRequest({{"Authorization", "Basic c2VjcmV0"}}), Error::Unauthenticated, "Bearer TOKEN", "another form"},
    {"no token", makeRequest({{"Authorization", "Bearer "}}), Error::Unauthenticated, "Authorization", "another one"},
    {"long token", makeRequest({{"Authorization", "Bearer " + std::string(513, 't')}}), Error::Unauthenticated, "Authorization", "found"},
    {"two tokens", makeRequest({{"Authorization", "Bearer a"}, {"Authorization", "Bearer b"}}), Error::Unauthenticated, "Authorization",
     "several"},
};

} // namespace

// Guards against invalid input that is ignored, misread or refused without a usable explanation.
BOOST_DATA_TEST_CASE(faultyHeadersAreNamed, data::make(faultCases), c)
{
    const auto parsed = parseServiceRequest(c.request);
    const auto *failure = std::get_if<Failure>(&parsed);
    BOOST_TEST_REQUIRE(failure);
    BOOST_TEST(errorName(failure->error) == errorName(c.error));
    BOOST_TEST((failure->execution == Execution::NotRun));
    BOOST_TEST(failure->detail.find(c.field) != std::string::npos, failure->detail);
    BOOST_TEST(failure->detail.find(c.found) != std::string::npos, failure->detail);
    BOOST_TEST(failure->detail.size() < 300U);
}

// Guards against a secret that appears in a response or a log.
BOOST_AUTO_TEST_CASE(tokensAreNotRepeated)
{
    const auto parsed = parseServiceRequest(makeRequest({{"Authorization", "Basic c2VjcmV0"}}));
    BOOST_TEST(std::get<Failure>(parsed).detail.find("c2VjcmV0") == std::string::npos);
}

// Guards against fields that are lost or assigned to the wrong member.
BOOST_AUTO_TEST_CASE(allFieldsAreRead)
{
    auto request = makeRequest({{"authorization", "bearer abc.def"},
                                {"acaciarail-deadline-ms", "1500"},
                                {"Acaciarail-Priority", "urgent"},
                                {"Idempotency-Key", "key-1"},
                                {"Acaciarail-Idempotent", "false"},
                                {"traceparent", "00-x"},
                                {"Other", "x"},
                                {"Other", "y"}},
                               "/services/retake-v2/a%20b/../c");
    request.query = "d=e";
    const auto parsed = parseServiceRequest(request);
    BOOST_TEST_REQUIRE(std::holds_alternative<ServiceRequest>(parsed));
    const auto &out = std::get<ServiceRequest>(parsed);
    BOOST_TEST(out.service.str() == "retake-v2");
    BOOST_TEST(out.target == "/a%20b/../c?d=e");
    BOOST_TEST(out.token == "abc.def");
    BOOST_TEST((out.deadline == Duration(1500ms)));
    BOOST_TEST((out.priority == Priority::Urgent));
    BOOST_TEST(out.idempotencyKey == "key-1");
    BOOST_TEST(!out.idempotent);
    BOOST_TEST(out.traceparent == "00-x");
}

struct MethodCase
{
    HttpMethod method;
    bool idempotent;

    friend auto operator<<(std::ostream &out, const MethodCase &c) -> std::ostream &
    {
        return out << httpMethodName(c.method);
    }
};

const MethodCase methodCases[] = {
    {HttpMethod::Get, true},    {HttpMethod::Head, true},  {HttpMethod::Options, true}, {HttpMethod::Put, true},
    {HttpMethod::Delete, true}, {HttpMethod::Post, false}, {HttpMethod::Patch, false},
};

// Guards against a request that is sent twice because its method is treated as idempotent.
BOOST_DATA_TEST_CASE(methodDecidesWithoutTheHeader, data::make(methodCases), c)
{
    auto request = makeRequest({}, "/services/retake");
    request.method = c.method;
    const auto out = std::get<ServiceRequest>(parseServiceRequest(request));
    BOOST_TEST(out.idempotent == c.idempotent);
    BOOST_TEST(out.target == "/");
    BOOST_TEST(out.token.empty());
    BOOST_TEST(!out.deadline);
    request.headers = {{"Acaciarail-Idempotent", c.idempotent ? "false" : "true"}};
    BOOST_TEST(std::get<ServiceRequest>(parseServiceRequest(request)).idempotent != c.idempotent);
}

// Guards against failures without a stable code, the right execution or an error status.
BOOST_AUTO_TEST_CASE(everyErrorIsAProblem)
{
    for (int i = 0; i <= static_cast<int>(Error::ConnectionLost); ++i) {
        const auto error = static_cast<Error>(i);
        const auto response = renderProblem({error, Execution::Unknown, "a \"b\"\n\xff"}, 1500us);
        BOOST_TEST(response.status >= 400);
        BOOST_TEST(response.status < 600);
        BOOST_TEST(findHeader(response.headers, "content-type").value_or("") == "application/problem+json");
        BOOST_TEST(findHeader(response.headers, "retry-after").value_or("") == "1");
        const auto body = nlohmann::json::parse(response.body);
        BOOST_TEST(body["status"] == response.status);
        BOOST_TEST(body["code"] == errorName(error));
        BOOST_TEST(body["execution"] == "unknown");
        BOOST_TEST(body["detail"] == "a \"b\"\n\xef\xbf\xbd");
        BOOST_TEST(body["retry_after_ms"] == 2);
    }
    const auto plain = renderProblem({Error::Unauthenticated, Execution::NotRun, ""});
    BOOST_TEST(!nlohmann::json::parse(plain.body).contains("retry_after_ms"));
    BOOST_TEST(!findHeader(plain.headers, "Retry-After"));
    BOOST_TEST(findHeader(plain.headers, "WWW-Authenticate").has_value());
    BOOST_TEST(renderProblem({Error::Ok, Execution::NotRun, ""}).status == 500);
}

struct DecodeCase
{
    std::string query;
    std::optional<std::string> value;

    friend auto operator<<(std::ostream &out, const DecodeCase &c) -> std::ostream &
    {
        return out << c.query;
    }
};

const DecodeCase decodeCases[] = {
    {"a=1&b=2", "2"},
    {"b=%41%2f&b=3", "A/"},
    {"b", ""},
    {"b=", ""},
    {"%62=x", "x"},
    {"bb=1&cb=2", std::nullopt},
    {"b=%4", std::nullopt},
    {"b=%zz", std::nullopt},
    {"b=%00", std::nullopt},
    {"", std::nullopt},
    {"&&=&b=1=2&", "1=2"},
};

// Guards against parameters that are misread, or truncated at an encoded NUL.
BOOST_DATA_TEST_CASE(queryParametersAreDecoded, data::make(decodeCases), c)
{
    BOOST_TEST((queryParameter(c.query, "b") == c.value));
}
