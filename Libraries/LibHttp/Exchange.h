#pragma once

#include <LibCore/BootClock.h>
#include <LibHttp/Client.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace Http {

/// An open connection to a server, with the bytes that were read beyond the last response.
struct ClientConnection {
    explicit ClientConnection(boost::asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    boost::beast::tcp_stream stream;
    /// A head, a chunk's extension or trailers that do not fit fail the exchange.
    static constexpr std::size_t bufferLimit = 128 * 1024;

    boost::beast::flat_buffer buffer { bufferLimit };
    std::shared_ptr<SilenceWatch> silenceWatch; ///< Empty if no limit is set.
    Silence silence { Silence::None }; ///< Why the connection was ended, if it was for that.
    Core::BootClock::time_point keepUntil; ///< The server may have closed it after this time.
    std::vector<std::size_t> carriedIds; ///< Hashes of the ids of the requests that were sent on it.
    bool hasCarriedHead { false }; ///< A HEAD request was sent on it.
    bool hasCarriedOther { false }; ///< A request with another method was sent on it.
};

/// Takes back a connection whose response was read to the end.
using ConnectionReturn = std::function<void(std::shared_ptr<ClientConnection>)>;

/// The exchange on one connection. Use from the client's thread only.
class ConnectionExchange final : public Exchange {
public:
    ConnectionExchange(std::shared_ptr<ClientConnection>, ClientSettings const&, ConnectionReturn);
    ~ConnectionExchange() override;

    boost::asio::awaitable<Core::Result<void>> start(Request const&) override;
    ResponseHead const& head() const override { return m_head; }
    boost::asio::awaitable<Core::Result<std::optional<std::string>>> read() override;
    void setHeadTimeout(std::chrono::milliseconds timeout) override { m_settings.headTimeout = timeout; }
    void setPieceTimeout(std::chrono::milliseconds timeout) override { m_settings.pieceTimeout = timeout; }
    void setOnSilence(OnSilence) override;
    bool isOnKeptConnection() const override { return m_isOnKeptConnection; }
    std::size_t unacknowledgedBytes() const override;
    void cancel() override;
    boost::asio::awaitable<Core::Result<void>> skipResponse() override;

private:
    struct Writing;
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void beginWriting(Request const&);
    static boost::asio::awaitable<void> writeAll(std::shared_ptr<ClientConnection>, std::shared_ptr<Writing>);
    boost::asio::awaitable<Core::Result<void>> readHead();
    boost::asio::awaitable<boost::system::error_code> receiveHead();
    Core::Result<void> takeHead();
    boost::asio::awaitable<Core::Result<std::string>> readPiece();
    boost::asio::awaitable<boost::system::error_code> errorBehindEnd();
    void renewParser();
    void giveBack();
    static Core::Error canceledError();
    Core::Error errorOf(boost::system::error_code, std::string_view step) const;
    Core::Error errorOf(std::string_view problem) const;
    Core::Verdict verdict() const;

    std::shared_ptr<ClientConnection> m_connection; ///< Empty once the response was read to its end.
    ClientSettings m_settings;
    ConnectionReturn m_return;
    std::optional<Parser> m_parser;
    ResponseHead m_head;
    std::shared_ptr<Writing> m_writing; ///< Set by `start`.
    bool m_isOnKeptConnection;
    bool m_isCanceled { false };
    bool m_isHeadMethod { false };
    bool m_hasSkipped { false }; ///< A response that belonged to another request, or an interim one, came in: never reused.
};

}
