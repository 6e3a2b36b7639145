#include <acaciarail/caller/request_framer.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace Acaciarail;
using namespace Acaciarail::Caller;
namespace data = boost::unit_test::data;
using namespace std::string_literals;

namespace {

struct FramingCase
{
    std::string name;
    std::string bytes;
    FramingState state;
    int status;

    friend auto operator<<(std::ostream &out, const FramingCase &c) -> std::ostream &
    {
        return out << c.name;
    }
};

const std::string get = "GET / HTTP/1.1\r\n";
const std::string host = "Host: t\r\n";
const std::string chunked = "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n";

const FramingCase framingCases[] = {
    {"nothing", "", FramingState::Empty, 0},
    {"one byte", "G", FramingState::Head, 0},
    {"head without end", get + host, FramingState::Head, 0},
    {"plain", get + host + "\r\n", FramingState::Complete, 0},
    {"http 1.0 without host", "GET / HTTP/1.0\r\n\r\n", FramingState::Complete, 0},
    {"empty length", get + host + "Content-Length:\r\n\r\n", FramingState::Refused, 400},
    {"length 0", get + host + "Content-Length: 0\r\n\r\n", FramingState::Complete, 0},
    {"part of a body", get + host + "Content-Length: 5\r\n\r\n1234", FramingState::Body, 0},
    {"whole body", get + host + "content-LENGTH:\t5 \r\n\r\n12345", FramingState::Complete, 0},
    {"negative length", get + host + "Content-Length: -5\r\n\r\n", FramingState::Refused, 400},
    {"signed length", get + host + "Content-Length: +5\r\n\r\n", FramingState::Refused, 400},
    {"fractional length", get + host + "Content-Length: 5.0\r\n\r\n", FramingState::Refused, 400},
    {"hexadecimal length", get + host + "Content-Length: 0x5\r\n\r\n", FramingState::Refused, 400},
    {"list of lengths", get + host + "Content-Length: 5, 5\r\n\r\n", FramingState::Refused, 400},
    {"two lengths", get + host + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", FramingState::Refused, 400},
    {"huge length", get + host + "Content-Length: 18446744073709551617\r\n\r\n", FramingState::Refused, 413},
    {"length at the limit", get + host + "Content-Length: 1000\r\n\r\n", FramingState::Body, 0},
    {"length above the limit", get + host + "Content-Length: 1001\r\n\r\n", FramingState::Refused, 413},
    {"unknown encoding", get + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", FramingState::Refused, 501},
    {"chunked twice", get + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", FramingState::Refused, 400},
    {"chunked in 1.0", "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", FramingState::Refused, 400},
    {"chunked and length", get + host + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", FramingState::Refused, 400},
    {"unknown expectation", get + host + "Expect: more\r\n\r\n", FramingState::Refused, 417},
    {"no host", get + "\r\n", FramingState::Refused, 400},
    {"two hosts", get + host + host + "\r\n", FramingState::Refused, 400},
    {"bare line feed", "GET / HTTP/1.1\nHost: t\n\n", FramingState::Refused, 400},
    {"bare line feed in headers", get + "Host: t\n\r\n", FramingState::Refused, 400},
    {"carriage return in value", get + host + "A: b\rc\r\n\r\n", FramingState::Refused, 400},
    {"nul in value", get + host + "A: b\0c\r\n\r\n"s, FramingState::Refused, 400},
    {"folded header", get + host + "A: b\r\n c\r\n\r\n", FramingState::Refused, 400},
    {"space before colon", get + host + "Content-Length : 5\r\n\r\n", FramingState::Refused, 400},
    {"no colon", get + host + "abc\r\n\r\n", FramingState::Refused, 400},
    {"empty name", get + host + ": abc\r\n\r\n", FramingState::Refused, 400},
    {"empty first line", "\r\n" + get, FramingState::Refused, 400},
    {"no target", "GET HTTP/1.1\r\n\r\n", FramingState::Refused, 400},
    {"two targets", "GET / / HTTP/1.1\r\n\r\n", FramingState::Refused, 400},
    {"absolute target", "GET http://a/ HTTP/1.1\r\n\r\n", FramingState::Refused, 400},
    {"asterisk", "OPTIONS * HTTP/1.1\r\n\r\n", FramingState::Refused, 400},
    {"fragment", "GET /#a HTTP/1.1\r\n\r\n", FramingState::Refused, 400},
    {"raw byte in target", "GET /\xff HTTP/1.1\r\n\r\n", FramingState::Refused, 400},
    {"lower-case version", "GET / http/1.1\r\n\r\n", FramingState::Refused, 400},
    {"version 1.2", "GET / HTTP/1.2\r\n\r\n", FramingState::Refused, 505},
    {"lower-case method", "get / HTTP/1.1\r\n\r\n", FramingState::Refused, 501},
    {"connect", "CONNECT / HTTP/1.1\r\n\r\n", FramingState::Refused, 501},
    {"long line", "GET /" + std::string(300, 'a') + " HTTP/1.1\r\n\r\n", FramingState::Refused, 414},
    {"line at the limit", "GET /" + std::string(186, 'a') + " HTTP/1.1\r\n" + host + "\r\n", FramingState::Complete, 0},
    {"long header", get + host + "A: " + std::string(300, 'a') + "\r\n\r\n", FramingState::Refused, 431},
    {"long head", get + host + "A: " + std::string(180, 'a') + "\r\nB: " + std::string(180, 'a') + "\r\n\r\n", FramingState::Refused, 431},
    {"many headers", get + host + "A: b\r\nA: b\r\nA: b\r\nA: b\r\n\r\n", FramingState::Refused, 431},
    {"no chunk", chunked, FramingState::Body, 0},
    {"last chunk only", chunked + "0\r\n\r\n", FramingState::Complete, 0},
    {"chunks", chunked + "3\r\nabc\r\n00A\r\n0123456789\r\n0\r\n\r\n", FramingState::Complete, 0},
    {"chunk without end", chunked + "3\r\nabc", FramingState::Body, 0},
    {"missing trailer end", chunked + "3\r\nabc\r\n0\r\n", FramingState::Body, 0},
    {"trailer", chunked + "0\r\nA: b\r\n\r\n", FramingState::Complete, 0},
    {"malformed trailer", chunked + "0\r\nab\r\n\r\n", FramingState::Refused, 400},
    {"many trailers", chunked + "0\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\n\r\n", FramingState::Refused, 400},
    {"chunk longer than stated", chunked + "3\r\nabcd\r\n0\r\n\r\n", FramingState::Refused, 400},
    {"chunk size with extension", chunked + "3;a=b\r\nabc\r\n", FramingState::Refused, 400},
    {"negative chunk size", chunked + "-3\r\nabc\r\n", FramingState::Refused, 400},
    {"empty chunk size", chunked + "\r\n", FramingState::Refused, 400},
    {"chunk size with prefix", chunked + "0x3\r\nabc\r\n", FramingState::Refused, 400},
    {"huge chunk size", chunked + "FFFFFFFFFFFFFFFFF\r\n", FramingState::Refused, 400},
    {"chunk above the limit", chunked + "3E9\r\n", FramingState::Refused, 413},
    {"chunks above the limit", chunked + "1\r\na\r\n3E8\r\n", FramingState::Refused, 413},
};

auto limits() -> RequestLimits
{
    RequestLimits out;
    out.maxRequestLine = 200;
    out.maxHeaderLine = 200;
    out.maxHeaders = 4;
    out.maxHead = 350;
    out.maxBody = 1000;
    return out;
}

} // namespace

// Guards against malformed, ambiguous and oversized requests that are accepted, and against valid ones that are refused.
BOOST_DATA_TEST_CASE(requestsAreFramed, data::make(framingCases), c)
{
    RequestFramer framer(limits());
    const auto framing = framer.examine(c.bytes);
    BOOST_TEST((framing.state == c.state), framing.failure.detail);
    BOOST_TEST(framing.status == c.status);
    if (c.state == FramingState::Complete) {
        BOOST_TEST(framing.size == c.bytes.size());
    }
    if (c.state == FramingState::Refused) {
        BOOST_TEST(framing.failure.detail.find("expected") != std::string::npos);
        BOOST_TEST(framing.failure.detail.find("found") != std::string::npos);
        BOOST_TEST((framing.failure.execution == Execution::NotRun));
    }
}

// Guards against a result that depends on how the network splits the bytes into packets.
BOOST_DATA_TEST_CASE(framingDoesNotDependOnPackets, data::make(framingCases), c)
{
    RequestFramer framer(limits());
    Framing framing;
    for (std::size_t n = 1; n <= c.bytes.size(); ++n) {
        framing = framer.examine(std::string_view(c.bytes).substr(0, n));
        if (framing.state == FramingState::Refused || framing.state == FramingState::Complete) {
            break;
        }
    }
    BOOST_TEST((framing.state == c.state));
    BOOST_TEST(framing.status == c.status);
}

// Guards against a request that is framed with state left from an earlier one on the connection.
BOOST_AUTO_TEST_CASE(resetDiscardsTheState)
{
    RequestFramer framer(limits());
    const auto first = chunked + "3\r\nabc\r\n0\r\n\r\n";
    const auto second = get + host + "Content-Length: 2\r\n\r\nab";
    auto framing = framer.examine(first + second);
    BOOST_TEST((framing.state == FramingState::Complete));
    BOOST_TEST(framing.size == first.size());
    BOOST_TEST(framing.chunked);
    BOOST_TEST(decodeChunks(std::string_view(first).substr(framing.headSize)) == "abc");
    framer.reset();
    framing = framer.examine(second);
    BOOST_TEST((framing.state == FramingState::Complete));
    BOOST_TEST(framing.size == second.size());
    BOOST_TEST(!framing.chunked);
}

// Guards against chunks of one byte, whose framing takes several times the memory of the body.
BOOST_AUTO_TEST_CASE(tinyChunksAreBounded)
{
    auto wide = limits();
    wide.maxBody = 100'000;
    RequestFramer framer(wide);
    auto bytes = chunked;
    for (int i = 0; i < 99'000; ++i) {
        bytes += "1\r\na\r\n";
    }
    const auto framing = framer.examine(bytes);
    BOOST_TEST((framing.state == FramingState::Refused));
    BOOST_TEST(framing.status == 413);
}
