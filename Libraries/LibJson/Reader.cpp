#include <LibJson/Reader.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace Json {

namespace {

Core::Error wrongType(std::string_view key, std::string_view expected)
{
    return Core::makeError(Core::ErrorCode::BadInput, "'" + std::string(key) + "' must be " + std::string(expected) + ".");
}

template <typename T>
Core::Result<T> required(std::string_view key, Core::Result<std::optional<T>> const& value)
{
    if (!value)
        return value.error();
    if (!value.value())
        return Core::fail(Core::ErrorCode::BadInput, "'" + std::string(key) + "' is missing.");
    return *value.value();
}

}

Core::Result<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(text, ec);
    if (ec || !value.is_object())
        return Core::fail(Core::ErrorCode::BadInput, "The body must be a JSON object.");
    return std::move(value.get_object());
}

Core::Result<std::optional<std::string>> optionalString(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* it = object.if_contains(key);
    if (!it)
        return std::optional<std::string>();
    if (!it->is_string())
        return wrongType(key, "a string");
    return std::optional<std::string>(std::string(it->get_string()));
}

Core::Result<std::optional<std::uint64_t>> optionalNumber(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* it = object.if_contains(key);
    if (!it)
        return std::optional<std::uint64_t>();
    boost::system::error_code ec;
    std::uint64_t n = it->to_number<std::uint64_t>(ec);
    if (ec)
        return wrongType(key, "a whole number from 0 up");
    return std::optional<std::uint64_t>(n);
}

Core::Result<std::optional<bool>> optionalBool(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* it = object.if_contains(key);
    if (!it)
        return std::optional<bool>();
    if (!it->is_bool())
        return wrongType(key, "true or false");
    return std::optional<bool>(it->get_bool());
}

Core::Result<std::string> requiredString(boost::json::object const& object, std::string_view key)
{
    return required(key, optionalString(object, key));
}

Core::Result<std::uint64_t> requiredNumber(boost::json::object const& object, std::string_view key)
{
    return required(key, optionalNumber(object, key));
}

Core::Result<std::vector<boost::json::object const*>> requiredObjects(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* list = object.if_contains(key);
    if (!list || !list->is_array())
        return wrongType(key, "a list of objects");
    std::vector<boost::json::object const*> objects;
    for (boost::json::value const& it : list->get_array()) {
        if (!it.is_object())
            return wrongType(key, "a list of objects");
        objects.push_back(&it.get_object());
    }
    return objects;
}

}
