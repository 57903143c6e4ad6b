#pragma once

#include <LibHttp/Client.h>
#include <LibStandIn/Api.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>
#include <optional>

/// Runs stand-ins and a client on one io_context, which runs while a call waits for its answer.
class ApiFixture : public testing::Test {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    using Answer = std::optional<Core::Result<Http::Response>>;

    /// Serves `api` on a free port until the test ends.
    Endpoint serve(std::shared_ptr<StandIn::Api> api)
    {
        Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_servers.push_back(StandIn::listen(m_context, any, std::move(api)).value());
        return { any.address(), m_servers.back()->port() };
    }

    /// Sends a request and fills `answer`, which must live until then, while the io_context runs.
    void begin(Answer& answer, Endpoint const& to, Http::Request request)
    {
        boost::asio::co_spawn(m_context, fetchInto(m_client.get(), to, std::move(request), answer), boost::asio::detached);
    }

    void runUntil(std::function<bool()> const& isDone)
    {
        while (!isDone())
            m_context.run_one();
    }

    Core::Result<Http::Response> trySend(Endpoint const& to, std::string method, std::string target, std::string body = {}, Http::Fields fields = {})
    {
        Answer answer;
        begin(answer, to, Http::Request { std::move(method), std::move(target), std::move(fields), std::move(body) });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }

    Http::Response send(Endpoint const& to, std::string method, std::string target, std::string body = {}, Http::Fields fields = {})
    {
        return trySend(to, std::move(method), std::move(target), std::move(body), std::move(fields)).value();
    }

protected:
    boost::asio::io_context m_context { 1 };
    std::unique_ptr<Http::Client> m_client { Http::Client::create(m_context, {}) };
    std::vector<std::unique_ptr<Http::Server>> m_servers;

private:
    static boost::asio::awaitable<void> fetchInto(Http::Client* client, Endpoint to, Http::Request request, Answer& answer)
    {
        answer = co_await client->fetch(to, std::move(request));
    }
};
