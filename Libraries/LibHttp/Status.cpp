#include <LibHttp/Status.h>
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace Http {

std::string_view reasonPhrase(std::uint16_t status)
{
    boost::beast::string_view phrase = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return { phrase.data(), phrase.size() };
}

}
