#pragma once

#include "Fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
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

    /// Connects. Throws boost::system::system_error when that fails. `receiveBuffer`: bytes that its host takes while it
    /// does not read, about; 0 leaves the kernel's default.
    explicit RawCaller(Endpoint const&, int receiveBuffer = 0);

    /// Writes bytes; a connection that the other side has closed takes none.
    void write(std::string const& bytes);

    /// Reads until `size` bytes have come, nothing more comes for `patience`, or the connection ends. Returns all that was read.
    std::string read(std::size_t size, std::chrono::milliseconds patience);

    /// Drops a share of all that arrives from now on: with 1 its host is silent.
    void setLoss(double share);

    void close(Closing);

    /// Returns a request as it goes over the connection.
    static std::string bytesOf(Http::Request const&);

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

}
