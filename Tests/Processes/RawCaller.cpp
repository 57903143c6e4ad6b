#include "RawCaller.h"

#include <boost/asio/write.hpp>

namespace Processes {

RawCaller::RawCaller(Endpoint const& endpoint)
    : m_socket(m_context)
{
    m_socket.connect(endpoint);
}

void RawCaller::write(std::string const& bytes)
{
    boost::system::error_code ec;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
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
    return bytes + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

}
