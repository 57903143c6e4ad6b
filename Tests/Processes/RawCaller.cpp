#include "RawCaller.h"

#include "PacketLoss.h"

#include <array>
#include <boost/asio/write.hpp>
#include <poll.h>

namespace Processes {

RawCaller::RawCaller(Endpoint const& endpoint, int receiveBuffer)
    : m_socket(m_context)
{
    m_socket.open(endpoint.protocol());
    if (receiveBuffer > 0)
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
    m_socket.connect(endpoint);
}

void RawCaller::write(std::string const& bytes)
{
    boost::system::error_code ec;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
}

std::string RawCaller::read(std::size_t size, std::chrono::milliseconds patience)
{
    std::string bytes;
    std::array<char, 64 * 1024> buf {};
    while (bytes.size() < size) {
        pollfd descriptor { m_socket.native_handle(), POLLIN, 0 };
        if (::poll(&descriptor, 1, static_cast<int>(patience.count())) <= 0)
            break;
        boost::system::error_code ec;
        bytes.append(buf.data(), m_socket.read_some(boost::asio::buffer(buf), ec));
        if (ec)
            break;
    }
    return bytes;
}

void RawCaller::setLoss(double share)
{
    dropArriving(m_socket.native_handle(), share);
}

void RawCaller::close(Closing closing)
{
    boost::system::error_code ec;
    if (closing == Closing::Reset)
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
}

std::string RawCaller::bytesOf(Http::Request const& request)
{
    std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (Http::Fields::Entry const& it : request.fields.entries())
        bytes += it.first + ": " + it.second + "\r\n";
    return bytes + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body.text();
}

}
