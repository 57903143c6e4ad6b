#pragma once

#include <LibHttp/Client.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace Http {

/// An open connection to a server, with the bytes that were read beyond the last response.
struct ClientConnection {
    explicit ClientConnection(boost::asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point keptSince;
};

/// Takes back a connection whose response was read to the end.
using ConnectionReturn = std::function<void(std::unique_ptr<ClientConnection>)>;

/// The exchange on one connection. Use from the client's thread only.
class ConnectionExchange final : public Exchange {
public:
    ConnectionExchange(std::unique_ptr<ClientConnection>, ClientSettings const&, ConnectionReturn);
    ~ConnectionExchange() override;

    boost::asio::awaitable<Core::Result<void>> start(Request const&) override;
    ResponseHead const& head() const override { return m_head; }
    boost::asio::awaitable<Core::Result<std::optional<std::string>>> read() override;
    void setHeadTimeout(std::chrono::milliseconds timeout) override { m_settings.headTimeout = timeout; }
    void setPieceTimeout(std::chrono::milliseconds timeout) override { m_settings.pieceTimeout = timeout; }
    void cancel() override;

private:
    boost::asio::awaitable<Core::Result<void>> writeRequest(Request const&);
    boost::asio::awaitable<Core::Result<void>> readHead();
    void giveBack();
    Core::Error errorOf(boost::system::error_code, std::string_view step) const;

    std::unique_ptr<ClientConnection> m_connection;
    ClientSettings m_settings;
    ConnectionReturn m_return;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> m_parser;
    ResponseHead m_head;
    bool m_hasWritten { false };
    bool m_isCanceled { false };
    bool m_isHeadMethod { false };
};

}
