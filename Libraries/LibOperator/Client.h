#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Client.h>
#include <LibOperator/Messages.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Operator {

/// Which operators' listeners a client asks, in this order, and how.
struct ClientSettings {
    std::vector<boost::asio::ip::tcp::endpoint> servers;
    std::string token; ///< Empty: none is sent.
    std::chrono::milliseconds timeout { 5'000 }; ///< For one server's answer.
};

/// Calls the operators' listener of the first server that answers. Every call may be repeated without harm: reads
/// by nature, changes by their id. Blocking: a call runs the io_context until it has its answer. Not thread-safe.
/// Errors of all calls: Unauthorized (the token), Unavailable (no server answered; the verdict says whether
/// a change may have been sent), BadInput (a server found the request wrong), Internal (an answer that
/// breaks the protocol).
class Client {
public:
    /// Precondition: at least one server; the io_context outlives the client.
    static std::unique_ptr<Client> create(boost::asio::io_context&, ClientSettings);

    Core::Result<ConfigDocument> config();
    Core::Result<std::vector<HistoryEntry>> history(std::uint64_t limit);
    Core::Result<Progress> progress(std::uint64_t revision);
    Core::Result<boost::json::object> status();

    /// Reads the singleton duties, the suspected requests, the rate limits or the paces of targets, of a daemon on a platform with a keyed store.
    Core::Result<boost::json::object> duties();
    Core::Result<boost::json::object> suspects();
    Core::Result<boost::json::object> limits();
    Core::Result<boost::json::object> paces();
    Core::Result<boost::json::object> explain(boost::json::object const& question);

    /// Sends a change to one server after another until one knows its outcome. Returns `Unknown` when none does
    /// and one of them may have appended it.
    Core::Result<ChangeReply> submit(State::ConfigRecord const&);

    /// Waits without blocking the io_context's other work.
    void wait(std::chrono::milliseconds);

private:
    Client(boost::asio::io_context&, ClientSettings);
    Core::Result<Http::Response> fetch(boost::asio::ip::tcp::endpoint const&, Http::Request);
    Core::Result<Http::Response> call(std::string const& method, std::string const& target, std::string const& body);

    boost::asio::io_context& m_context;
    ClientSettings m_settings;
    std::unique_ptr<Http::Client> m_client;
};

}
