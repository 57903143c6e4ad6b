// Heads of responses that are no proper HTTP: none is taken for a response.

#include "ClientConnectionsFixture.h"
#include <algorithm>
#include <cctype>
#include <rapidcheck/gtest.h>

using namespace ClientPeers;

namespace {

constexpr std::string_view tenBytes = "0123456789";
constexpr std::string_view chunks = "5\r\n01234\r\n0\r\n\r\n";
constexpr std::string_view line200 = "HTTP/1.1 200 OK\r\n";

class ResponseHeads : public ClientConnections {
protected:
    /// Returns what a client makes of these bytes, behind which the peer closes the connection.
    Core::Result<Http::Response> fetch(std::string const& bytes)
    {
        serve([bytes](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
            co_await readHead(*socket);
            co_await answer(*socket, bytes);
        });
        std::optional<Core::Result<Http::Response>> response;
        run([&]() -> Asio::awaitable<void> { response = co_await m_client->fetch(m_endpoint, Http::Request()); });
        return *response;
    }

    void expectRefused(std::string const& bytes)
    {
        Core::Result<Http::Response> response = fetch(bytes);
        ASSERT_TRUE(response.has_error()) << "status " << response.value().status << ", body \"" << response.value().body << "\"";
        EXPECT_EQ(response.error().verdict, Core::Verdict::MayHaveRun);
        EXPECT_EQ(response.error().code, Core::ErrorCode::Unavailable);
    }
};

/// Fetches each of these on a client of its own.
class ImproperHeads : public ResponseHeads, public testing::WithParamInterface<std::string> { };

std::string withLength(std::string const& fields)
{
    return std::string(line200) + "Content-Length: 10\r\n" + fields + "\r\n" + std::string(tenBytes);
}

std::string withStatus(std::string const& status)
{
    return "HTTP/1.1 " + status + " Some\r\nContent-Length: 10\r\n\r\n" + std::string(tenBytes);
}

std::string withCoding(std::string const& field, std::string_view version = "HTTP/1.1")
{
    return std::string(version) + " 200 OK\r\nX-A: 1\r\n" + field + "\r\n\r\n" + std::string(chunks);
}

std::vector<std::string> improperHeads()
{
    std::vector<std::string> heads;
    for (char const* status : { "000", "001", "099", "600", "700", "999", "20", "2000", "-20", "+20", "0x2", "20a", "101" })
        heads.push_back(withStatus(status));
    for (std::string const& field : { std::string("X-A B: 1"), std::string("X-A : 1"), std::string("X-A\t: 1"), std::string("X-A\x01Y: 1"), std::string("X-A\x7f: 1"), std::string("X-\x80: 1"), std::string("X-\0A: 1", 7), std::string("X-\rA: 1"), std::string(": 1"), std::string("X-A"), std::string("X(A): 1"), std::string("X-A: 1\x01"), std::string("X-A: 1\r2"), std::string("X-A: \x7f"), std::string("X-A: 1\n"), std::string("X-B: 1\r\n X-A: 1"), std::string("X-B: 1\r\n\tX-A: 1"), std::string("X-B: 1\r\n  ") })
        heads.push_back(withLength(field + "\r\n"));
    heads.push_back(std::string(line200) + " X-A: 1\r\nContent-Length: 10\r\n\r\n" + std::string(tenBytes));
    for (char const* coding : { "", "identity", "gzip", "chunked, gzip", "gzip, chunked", "xchunked", "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked", "\vchunked" })
        heads.push_back(withCoding(std::string("Transfer-Encoding: ") + coding));
    heads.push_back(withCoding(" Transfer-Encoding: chunked"));
    heads.push_back(withCoding("Transfer-Encoding : chunked"));
    heads.push_back(withCoding("Transfer-Encoding: chunked", "HTTP/1.0"));
    heads.push_back(withLength("Transfer-Encoding: chunked\r\n"));
    heads.push_back(withLength("Transfer-Encoding: gzip\r\n"));
    heads.push_back(withLength("Content-Length: 5\r\n"));
    return heads;
}

// A judge of its own for heads of this test's shape: fields by RFC 9110, section 5, and RFC 9112, section 5.
bool isToken(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos; });
}

bool isProperLine(std::string_view line)
{
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return false;
    std::string_view value = line.substr(colon + 1);
    return std::all_of(value.begin(), value.end(), [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

bool isProperHead(std::string_view head)
{
    std::size_t end = head.find("\r\n");
    std::string_view first = head.substr(0, end);
    if (!first.starts_with("HTTP/1.") || first.size() < 12 || first.substr(9, 1) < "1" || first.substr(9, 1) > "5")
        return false;
    for (std::string_view rest = head.substr(end + 2); !rest.empty(); rest.remove_prefix(end + 2)) {
        end = rest.find("\r\n");
        if (end == std::string_view::npos || !isProperLine(rest.substr(0, end)))
            return false;
    }
    return true;
}

}

// Guards against a caller who gets a spoiled head as an answer, or a body that is not its target's.
TEST_P(ImproperHeads, AreNoResponse)
{
    expectRefused(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Heads, ImproperHeads, testing::ValuesIn(improperHeads()));

// Guards against proper responses that are refused with the spoiled ones.
TEST_F(ResponseHeads, ProperOnesAreResponses)
{
    std::vector<std::string> heads {
        withLength(""),
        withLength("X-A: 1 2\t3 \xc3\xa4\r\nX-Empty:\r\n"),
        "HTTP/1.0 200 OK\r\n\r\n" + std::string(tenBytes),
        "HTTP/1.1 599 \r\nContent-Length: 10\r\n\r\n" + std::string(tenBytes),
        std::string(line200) + "transfer-encoding: Chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
    };
    std::size_t next = 0;
    serve([&](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        co_await readHead(*socket);
        co_await answer(*socket, heads[next++]);
    });
    run([&]() -> Asio::awaitable<void> {
        for (std::string const& head : heads) {
            Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, Http::Request());
            EXPECT_TRUE(response.has_value()) << head;
            EXPECT_EQ(response.value().body, tenBytes) << head;
        }
    });
}

// Guards against an interim response that a caller gets as the answer to its request (RFC 9110, section 15.2).
TEST_F(ResponseHeads, InterimOnesAreSkipped)
{
    Core::Result<Http::Response> response = fetch("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withStatus("200"));
    ASSERT_TRUE(response.has_value()) << response.error().message;
    EXPECT_EQ(response.value().status, 200);
    EXPECT_EQ(response.value().body, tenBytes);
    EXPECT_FALSE(response.value().fields.find("Link").has_value());
}

// Guards against a peer that keeps its client at work with interim responses.
TEST_F(ResponseHeads, InterimOnesWithoutEndAreRefused)
{
    std::string bytes;
    for (int n = 0; n < 200; ++n)
        bytes += "HTTP/1.1 102 Processing\r\n\r\n";
    expectRefused(bytes + withStatus("200"));
}

// Guards against a connection that is used again behind an improper response on it.
TEST_F(ResponseHeads, AnImproperOneEndsAKeptConnection)
{
    serve([](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        for (char const* status : { "200", "000", "200" }) {
            co_await readHead(*socket);
            co_await answer(*socket, withStatus(status));
        }
    });
    run([this]() -> Asio::awaitable<void> {
        for (bool isProper : { true, false, true }) {
            Core::Result<Http::Response> response = co_await m_client->fetch(m_endpoint, Http::Request());
            EXPECT_EQ(response.has_value(), isProper);
        }
    });
    EXPECT_EQ(m_accepted, 2);
}

// Guards against heads spoiled in ways that no list names: what the client takes is proper HTTP.
RC_GTEST_FIXTURE_PROP(ResponseHeads, TakenOnesAreProper, ())
{
    std::string head = std::string(line200) + "X-Request-Id: 1\r\nContent-Length: 10\r\nX-A: b\r\n";
    int spoils = *rc::gen::inRange(1, 4);
    for (int n = 0; n < spoils; ++n) {
        std::size_t at = *rc::gen::inRange<std::size_t>(0, head.size());
        std::string bytes = *rc::gen::element<std::string>(" ", "\t", "\r", "\n", "\r\n", "\r\n ", ":", "\x01", std::string(1, '\0'), "\x7f", "\x80", "0", "9", "(", "Transfer-Encoding: gzip\r\n");
        head.replace(at, *rc::gen::inRange<std::size_t>(0, 2), bytes);
    }
    RC_LOG() << "head: " << head << std::endl;
    Core::Result<Http::Response> response = fetch(head + "\r\n" + std::string(tenBytes));
    // The spoiled bytes may end the head early.
    std::string taken = (head + "\r\n").substr(0, (head + "\r\n").find("\r\n\r\n") + 2);
    if (response.has_value())
        RC_ASSERT(isProperHead(taken));
}
