#include <LibPlatform/Json.h>
#include <boost/json/parse.hpp>

namespace Platform {

Core::Result<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse({ text.data(), text.size() }, ec);
    if (ec)
        return Core::fail(Core::ErrorCode::BadInput, "not JSON: " + ec.message());
    if (!value.is_object())
        return Core::fail(Core::ErrorCode::BadInput, "read JSON that is no object; allowed is an object");
    return std::move(value.get_object());
}

std::string stringOf(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberOf(boost::json::object const& object, std::string_view key, std::uint64_t fallback)
{
    boost::json::value const* value = object.if_contains(key);
    if (!value)
        return fallback;
    boost::system::error_code ec;
    std::uint64_t number = value->to_number<std::uint64_t>(ec);
    return ec ? fallback : number;
}

bool flagOf(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* value = object.if_contains(key);
    return value && value->is_bool() && value->get_bool();
}

boost::json::array const* arrayOf(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* value = object.if_contains(key);
    return value ? value->if_array() : nullptr;
}

}
