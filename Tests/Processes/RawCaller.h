#pragma once

#include "Fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace Processes {

/// A caller that writes bytes as they are and may close its connection at any moment. Not thread-safe.
class RawCaller {
public:
    /// How it closes the connection.
    enum class Closing : std::uint8_t {
        Normal, ///< FIN.
        Reset, ///< RST.
    };

    /// Connects. Throws boost::system::system_error when that fails.
    explicit RawCaller(Endpoint const&);

    /// Writes bytes; a connection that the other side has closed takes none.
    void write(std::string const& bytes);

    void close(Closing);

    /// Returns a request as it goes over the connection.
    static std::string bytesOf(Http::Request const&);

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

}
