#pragma once

#include <LibPeer/Client.h>
#include <LibPeer/Server.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <optional>

namespace PeerTest {

inline boost::asio::ip::tcp::endpoint anyPort()
{
    return { boost::asio::ip::address_v4::loopback(), 0 };
}

/// Settings with which silence is found soon. Nothing asserts how soon.
inline Peer::Settings quickSettings()
{
    Peer::Settings settings;
    settings.senderName = "tanta-entry-1";
    settings.senderIncarnation = 42;
    settings.heartbeatInterval = std::chrono::milliseconds(50);
    settings.heartbeatTimeout = std::chrono::milliseconds(400);
    return settings;
}

/// A server and a client on one event loop, and a way to run it until something is true.
struct Loopback {
    explicit Loopback(Peer::Handler handler, Peer::Settings const& settings = quickSettings())
        : server(Peer::Server::create(context, anyPort(), settings, std::move(handler)).value())
        , client(Peer::Client::create(context, server->localEndpoint(), settings).value())
    {
    }

    /// Runs handlers until `isDone`; the bound only ends a test that hangs.
    bool runUntil(std::function<bool()> const& isDone)
    {
        std::chrono::steady_clock::time_point const bound = std::chrono::steady_clock::now() + std::chrono::seconds(120);
        while (!isDone()) {
            if (std::chrono::steady_clock::now() > bound)
                return false;
            context.restart();
            context.run_one_for(std::chrono::seconds(1));
        }
        return true;
    }

    boost::asio::io_context context;
    std::shared_ptr<Peer::Server> server;
    std::shared_ptr<Peer::Client> client;
};

/// What one stream gave.
struct Outcome {
    int status { 0 };
    std::string data;
    std::optional<Core::Result<void>> end;

    /// Returns hooks that fill this outcome, which must outlive the stream.
    Peer::StreamHooks hooks()
    {
        Peer::StreamHooks hooks;
        hooks.onHead = [this](int n) { status = n; };
        hooks.onData = [this](std::string_view bytes) { data += bytes; };
        hooks.onEnd = [this](Core::Result<void> result) { end = std::move(result); };
        return hooks;
    }
    bool isDone() const { return end.has_value(); }
    bool isWhole() const { return end && end->has_value(); }
    Core::Verdict verdict() const { return isWhole() ? Core::Verdict::Ran : end->error().verdict; }
};

/// A handler that answers 200 with the request's body.
inline void echo(Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream)
{
    stream->sendHead(200);
    stream->send(request.body);
    stream->end();
}

}
